//go:build review

package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Worker is a stand-in of a worker of a plain service.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Address string

	// Run, if it is not nil, replaces the answer to a request that the worker runs.
	Run func(w http.ResponseWriter, r *http.Request)

	record *Record
}

// StartWorker starts a worker that reports to a store.
func StartWorker(s *Store, r *Record, id, service, zone string, run func(http.ResponseWriter, *http.Request)) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen as worker: %w", err)
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Run: run, record: r}
	go func() { _ = http.Serve(l, w) }()
	born, sequence := time.Now().UnixMilli(), 0
	beat := func() {
		s.Put(workerTable, id, map[string]any{
			"Service": service, "Address": w.Address, "Zone": zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": sequence, "born": born,
		})
		sequence++
	}
	beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			beat()
		}
	}()
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Radishspoke-Request-Id")
	h := rw.Header()
	h.Set("Radishspoke-Request-Id", id)
	if e := r.Header.Get("Radishspoke-Expect-Instance"); e != "" && e != w.ID {
		h.Set("Radishspoke-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Radishspoke-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.Run != nil {
		w.Run(rw, r)
		return
	}
	w.record.Printf("worker %s: request %s runs for tenant %s", w.ID, id, r.Header.Get("Radishspoke-Tenant"))
	_, _ = io.Copy(io.Discard, r.Body)
	h.Set("Radishspoke-Server-Stamp", "stamp."+id)
	_, _ = fmt.Fprintf(rw, "answer to %s", id)
}
