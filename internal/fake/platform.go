package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"radishspoke"
)

// PlatformFaults are the faults that a Platform can inject.
type PlatformFaults struct {
	// Outage makes every call fail without an effect.
	Outage bool `json:"outage"`

	// SlowMS is the delay of each call in milliseconds.
	SlowMS int `json:"slow_ms"`

	// LoseResponses is the number of writes, from the next one on, that take
	// effect but get no response. All calls with a method other than GET count
	// as writes.
	LoseResponses int `json:"lose_answers"`
}

// PlatformCounts are the numbers of calls to a Platform. Reads counts the reads of a
// single row, of an object and of the list of processes, Lists the reads of several
// rows by prefix, and Writes all writes except orders and usage reports. Conflicts
// counts the transactions that were rejected because the version of a row differed.
type PlatformCounts struct {
	Reads, Writes, Lists, Conflicts int
}

// PlatformOrder is an order to the platform to provide a number of targets in an
// availability zone.
type PlatformOrder struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Count int    `json:"count"`
	Epoch int64  `json:"epoch"`
}

// UsageReport is a usage report for one window.
type UsageReport struct {
	Window   string          `json:"window"`
	Reporter string          `json:"reporter"`
	Figures  json.RawMessage `json:"figures"`
}

// Platform is a fake of the services that the platform offers in radishspoke's own
// deployment: a row store with transactions, an object store, a list of live
// processes, and interfaces for orders and usage reports. RowStore is its counterpart
// for an external platform. A Platform is safe for concurrent use. Create it with
// NewPlatform.
type Platform struct {
	// HostLag is the delay until a change is visible in the list of processes.
	HostLag time.Duration

	mu      sync.Mutex
	rows    map[string]row
	objects map[string][]byte
	members []memberChange // all changes, the oldest first
	faults  PlatformFaults
	counts  PlatformCounts
	orders  []PlatformOrder
	usage   []UsageReport
	commits []CommitRecord
}

// CommitRecord is a committed transaction.
type CommitRecord struct {
	At     time.Time
	Writes []radishspoke.Write
}

// row is the value of a row and its version, which is the number of times that the
// row was written.
type row struct {
	value   []byte
	version int64
}

// memberChange is a change of the list of processes.
type memberChange struct {
	at     time.Time
	name   string
	member *radishspoke.Member // nil if the process was removed
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{rows: map[string]row{}, objects: map[string][]byte{}}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Usage returns the usage reports so far.
func (p *Platform) Usage() []UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]UsageReport(nil), p.usage...)
}

// Handler returns a handler for the HTTP interface of the platform. All calls are
// subject to the injected faults except PUT /faults, which replaces them.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	v := r.PathPrefix("/v1").Subrouter()
	v.HandleFunc("/rows", p.getRows).Methods(http.MethodGet)
	v.HandleFunc("/transactions", p.postTransaction).Methods(http.MethodPost)
	v.HandleFunc("/objects/{name}", p.getObject).Methods(http.MethodGet)
	v.HandleFunc("/objects/{name}", p.putObject).Methods(http.MethodPut)
	v.HandleFunc("/members", p.getMembers).Methods(http.MethodGet)
	v.HandleFunc("/members", p.putMember).Methods(http.MethodPut)
	v.HandleFunc("/members/{name}", p.deleteMember).Methods(http.MethodDelete)
	v.HandleFunc("/orders", p.postOrder).Methods(http.MethodPost)
	v.HandleFunc("/usage", p.postUsage).Methods(http.MethodPost)
	v.Use(p.injectFaults)
	r.HandleFunc("/faults", p.putFaults).Methods(http.MethodPut)
	return r
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if !decodeBody(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// injectFaults delays calls, fails them during an outage, and drops the responses
// to writes.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		lose := f.LoseResponses > 0 && r.Method != http.MethodGet
		if lose && !f.Outage {
			p.faults.LoseResponses--
		}
		p.mu.Unlock()
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if lose {
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := r.URL.Query()
	if q.Has("key") {
		p.counts.Reads++
		key := q.Get("key")
		e, ok := p.rows[key]
		if !ok {
			http.Error(w, "no such row", http.StatusNotFound)
			return
		}
		writeJSON(w, radishspoke.Row{Key: key, Value: e.value, Version: e.version})
		return
	}
	p.counts.Lists++
	out := []radishspoke.Row{}
	for k, e := range p.rows {
		if strings.HasPrefix(k, q.Get("prefix")) {
			out = append(out, radishspoke.Row{Key: k, Value: e.value, Version: e.version})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	writeJSON(w, out)
}

func (p *Platform) postTransaction(w http.ResponseWriter, r *http.Request) {
	var writes []radishspoke.Write
	if !decodeBody(w, r, &writes) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	for _, e := range writes {
		if p.rows[e.Key].version != e.Version {
			p.counts.Conflicts++
			http.Error(w, "row version differs: "+e.Key, http.StatusConflict)
			return
		}
	}
	for _, e := range writes {
		p.rows[e.Key] = row{value: e.Value, version: e.Version + 1}
	}
	p.commits = append(p.commits, CommitRecord{At: time.Now(), Writes: writes})
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	b, ok := p.objects[mux.Vars(r)["name"]]
	p.counts.Reads++
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(b)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[mux.Vars(r)["name"]] = b
	p.counts.Writes++
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// getMembers responds with the list of processes as it was HostLag ago.
func (p *Platform) getMembers(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	latest := time.Now().Add(-p.HostLag)
	listed := map[string]radishspoke.Member{} // by name
	for _, c := range p.members {
		if c.at.After(latest) {
			break
		}
		if c.member == nil {
			delete(listed, c.name)
			continue
		}
		listed[c.name] = *c.member
	}
	out := make([]radishspoke.Member, 0, len(listed))
	for _, m := range listed {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	writeJSON(w, out)
}

func (p *Platform) putMember(w http.ResponseWriter, r *http.Request) {
	var m radishspoke.Member
	if !decodeBody(w, r, &m) {
		return
	}
	p.mu.Lock()
	p.members = append(p.members, memberChange{at: time.Now(), name: m.Name, member: &m})
	p.counts.Writes++
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteMember(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.members = append(p.members, memberChange{at: time.Now(), name: mux.Vars(r)["name"]})
	p.counts.Writes++
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) postOrder(w http.ResponseWriter, r *http.Request) {
	var o PlatformOrder
	if !decodeBody(w, r, &o) {
		return
	}
	p.mu.Lock()
	p.orders = append(p.orders, o)
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) postUsage(w http.ResponseWriter, r *http.Request) {
	var u UsageReport
	if !decodeBody(w, r, &u) {
		return
	}
	p.mu.Lock()
	p.usage = append(p.usage, u)
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// decodeBody decodes a JSON body into v. If that fails, it responds with status
// 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON responds with v as JSON. It ignores a failed write, which means that the
// caller has closed the connection.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// RemoveMember removes a process from the list, as the platform does when it
// has failed.
func (p *Platform) RemoveMember(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = append(p.members, memberChange{at: time.Now(), name: name})
}
