//go:build review

package main

import (
	"io"
	"net/http"
	"sync"
	"time"

	"radishspoke/platform"
)

// report is a usage report as it arrived at the platform's API.
type report struct {
	at     time.Duration // since the start of the site
	holder string
	fence  int64
	window int64
}

// duties is the platform's API. It takes usage reports and does not check fences.
type duties struct {
	site *site

	mu      sync.Mutex
	reports []report
}

// ServeHTTP takes a usage report.
func (d *duties) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	tenure, err := platform.DecodeTenure(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	window, counts, err := platform.DecodeUsage(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.reports = append(d.reports, report{d.site.since(), tenure.Holder, tenure.Epoch, window})
	d.mu.Unlock()
	d.site.note("platform's API: usage report of %s, fence %d, window %d, counts %v, answered 200", tenure.Holder, tenure.Epoch, window, counts)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}")) // the caller may have left
}

// all returns the reports so far, in the order of their arrival.
func (d *duties) all() []report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]report(nil), d.reports...)
}

// await waits until a report arrives that fits, and returns it.
func (d *duties) await(limit time.Duration, fits func(report) bool) (report, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, r := range d.all() {
			if fits(r) {
				return r, true
			}
		}
	}
	return report{}, false
}
