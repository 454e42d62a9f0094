//go:build review

package harness

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Usage is a usage report that the platform accepted.
type Usage struct {
	At     time.Time
	Holder string
	Fence  int64
	Window int64
	Counts map[string]int64
}

// Cloud is a stand-in of the platform's service for duties. It checks no fences.
type Cloud struct {
	record *Record

	mu      sync.Mutex
	reports []Usage
}

// NewCloud returns a Cloud that has accepted nothing.
func NewCloud(r *Record) *Cloud { return &Cloud{record: r} }

// Reports returns the accepted reports in their order.
func (c *Cloud) Reports() []Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Usage(nil), c.reports...)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u := Usage{At: time.Now(), Holder: r.Header.Get("Radishspoke-Lease-Holder")}
	var body struct {
		Window int64
		Counts map[string]int64
	}
	fence, err := strconv.ParseInt(r.Header.Get("Radishspoke-Fence-Token"), 10, 64)
	if err != nil || r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.Fence, u.Window, u.Counts = fence, body.Window, body.Counts
	c.mu.Lock()
	c.reports = append(c.reports, u)
	c.mu.Unlock()
	c.record.Printf("platform: usage of window %d from %s with fence %d: %v", u.Window, u.Holder, u.Fence, u.Counts)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}
