package fake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// RequestHeader carries the request's id to a service.
const RequestHeader = "Radishspoke-Request"

// Reservation is one order that a ledger has recorded.
type Reservation struct {
	Request string `json:"request"`
	Order   string `json:"order"`
}

// Ledger is a service that records orders and answers stock lookups. The zero
// value is ready to use. It may stand behind several targets, as its effects
// are counted together.
type Ledger struct {
	// Delay is how long a reservation takes to answer after it has been
	// recorded.
	Delay time.Duration

	mu       sync.Mutex
	recorded []Reservation
	reads    int
	sent     int // bytes of long answers
	keysSeen []string
}

// Recorded returns the orders so far.
func (l *Ledger) Recorded() []Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Reservation(nil), l.recorded...)
}

// Credentials returns the Authorization headers that reached the service.
// There must be none.
func (l *Ledger) Credentials() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.keysSeen...)
}

// Handler serves the ledger.
func (l *Ledger) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/stock/list", l.getList).Methods(http.MethodGet)
	r.PathPrefix("/stock/").Methods(http.MethodGet).HandlerFunc(l.getStock)
	r.PathPrefix("/").Methods(http.MethodPost).HandlerFunc(l.postOrder)
	r.Use(l.noteCredentials)
	return r
}

func (l *Ledger) noteCredentials(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a := r.Header.Get("Authorization"); a != "" {
			l.mu.Lock()
			l.keysSeen = append(l.keysSeen, a)
			l.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Ledger) getStock(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.reads++
	n := len(l.recorded)
	l.mu.Unlock()
	writeJSON(w, map[string]any{"item": r.URL.Path[len("/stock/"):], "reserved": n})
}

// Sent returns the bytes of long answers that were written so far.
func (l *Ledger) Sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// getList answers with as many lines of eight bytes as are asked for.
func (l *Ledger) getList(w http.ResponseWriter, r *http.Request) {
	lines, err := strconv.Atoi(r.URL.Query().Get("lines"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for i := range lines {
		n, err := fmt.Fprintf(w, "%07d\n", i)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.sent += n
		l.mu.Unlock()
	}
}

func (l *Ledger) postOrder(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e := Reservation{Request: r.Header.Get(RequestHeader), Order: string(b)}
	l.mu.Lock()
	l.recorded = append(l.recorded, e)
	n := len(l.recorded)
	l.mu.Unlock()
	if l.Delay > 0 {
		time.Sleep(l.Delay)
	}
	writeJSON(w, map[string]any{"recorded": n, "order": e.Order})
}
