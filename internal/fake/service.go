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

// RequestIDHeader is the header that carries the request ID to a service.
const RequestIDHeader = "Radishspoke-Request"

// RecordedOrder is an order that a Ledger has recorded.
type RecordedOrder struct {
	Request string `json:"request"` // request ID
	Order   string `json:"order"`   // body of the request
}

// Ledger is a fake of a service behind radishspoke. Each POST request places an
// order, which the Ledger records, and GET requests look up the stock. It is safe for
// concurrent use, and the zero value is ready to use. Several targets may share one
// Ledger, which then records the orders to all of them.
type Ledger struct {
	// Delay is the time from the recording of an order to the response.
	Delay time.Duration

	mu          sync.Mutex
	recorded    []RecordedOrder
	reads       int
	bytesSent   int // in responses to /stock/list
	credentials []string
}

// Recorded returns the orders recorded so far.
func (l *Ledger) Recorded() []RecordedOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]RecordedOrder(nil), l.recorded...)
}

// Credentials returns the Authorization headers received so far. It must be empty,
// as the credentials of callers must not reach a service.
func (l *Ledger) Credentials() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.credentials...)
}

// Handler returns a handler for the HTTP interface of the ledger.
func (l *Ledger) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/stock/list", l.getList).Methods(http.MethodGet)
	r.PathPrefix("/stock/").Methods(http.MethodGet).HandlerFunc(l.getStock)
	r.PathPrefix("/").Methods(http.MethodPost).HandlerFunc(l.postOrder)
	r.Use(l.recordCredentials)
	return r
}

func (l *Ledger) recordCredentials(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a := r.Header.Get("Authorization"); a != "" {
			l.mu.Lock()
			l.credentials = append(l.credentials, a)
			l.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// getStock responds with the item that the path names and with the number of all
// orders recorded so far.
func (l *Ledger) getStock(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.reads++
	n := len(l.recorded)
	l.mu.Unlock()
	writeJSON(w, map[string]any{"item": r.URL.Path[len("/stock/"):], "reserved": n})
}

// BytesSent returns the number of bytes written so far in responses to
// /stock/list.
func (l *Ledger) BytesSent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesSent
}

// getList responds with as many lines of eight bytes as the query parameter lines
// says.
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
		l.bytesSent += n
		l.mu.Unlock()
	}
}

// postOrder records an order and responds after Delay with the number of orders
// recorded so far.
func (l *Ledger) postOrder(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := RecordedOrder{Request: r.Header.Get(RequestIDHeader), Order: string(b)}
	l.mu.Lock()
	l.recorded = append(l.recorded, o)
	n := len(l.recorded)
	l.mu.Unlock()
	if l.Delay > 0 {
		time.Sleep(l.Delay)
	}
	writeJSON(w, map[string]any{"recorded": n, "order": o.Order})
}
