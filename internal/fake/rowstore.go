package fake

import (
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"radishspoke/platform"
)

// RowStore is the store of the users' platform, as far as the product uses it.
// It serves HTTP. Make it with NewRowStore.
type RowStore struct {
	router *mux.Router
	began  time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowKey]platform.Row
	oldest  int64 // version from which feeds can be read
	changed chan struct{}
	faults  RowFaults
	usage   []WindowReport
	calls   int
}

// RowFaults are the store's present failures.
type RowFaults struct {
	// Status answers every call, without doing anything; 0 for none.
	Status int

	// LoseWrites is how many writes take effect and get no answer.
	LoseWrites int
}

// WindowReport is one report of usage that the platform took.
type WindowReport struct {
	platform.Tenure
	Window int64
	Counts map[string]int64
}

type rowKey struct{ table, key string }

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	s := &RowStore{
		router: mux.NewRouter(), began: time.Now(), rows: map[rowKey]platform.Row{}, changed: make(chan struct{}),
	}
	s.router.HandleFunc(platform.GetPath, s.get)
	s.router.HandleFunc(platform.CommitPath, s.commit)
	s.router.HandleFunc(platform.FeedPath, s.feed)
	s.router.HandleFunc(platform.UsagePath, s.takeUsage)
	return s
}

// ServeHTTP implements http.Handler.
func (s *RowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	status := s.faults.Status
	s.calls++
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the present failures.
func (s *RowStore) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
}

// Put writes a row, as the operators or a target would.
func (s *RowStore) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(platform.Row{Table: table, Key: key, Value: value})
	s.wake()
}

// Drop removes a row.
func (s *RowStore) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(platform.Row{Table: table, Key: key, Deleted: true})
	s.wake()
}

// Usage returns the reports taken so far.
func (s *RowStore) Usage() []WindowReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]WindowReport(nil), s.usage...)
}

// Calls returns the number of calls so far.
func (s *RowStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *RowStore) put(r platform.Row) {
	s.version++
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Key}] = r
}

func (s *RowStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes rows, and where the store is.
func (s *RowStore) answer(w http.ResponseWriter, rows []platform.Row) {
	data, err := platform.EncodeRows(platform.Rows{Rows: rows, Version: s.version, Now: time.Since(s.began).Truncate(time.Millisecond)})
	reply(w, data, err)
}

// reply answers a call, unless the caller has left.
func reply(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (s *RowStore) get(w http.ResponseWriter, r *http.Request) {
	table, from, to := platform.DecodeGet(r.URL.Query())
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for k, v := range s.rows {
		if k.table == table && !v.Deleted && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, rows)
}

func (s *RowStore) feed(w http.ResponseWriter, r *http.Request) {
	table, after, wait, err := platform.DecodeFeed(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []platform.Row
		for k, v := range s.rows {
			if k.table == table && v.Version > after {
				rows = append(rows, v)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.mu.Lock()
			s.answer(w, rows)
			s.mu.Unlock()
			return
		}
	}
}

func (s *RowStore) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	expected, changes, err := platform.DecodeCommit(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range expected {
		have := s.rows[rowKey{e.Table, e.Key}]
		if have.Deleted {
			have.Version = 0
		}
		if have.Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, c := range changes {
		s.put(c)
		s.version-- // one transaction has one version
	}
	s.version++
	s.wake()
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		panic(http.ErrAbortHandler)
	}
	s.answer(w, nil)
}

func (s *RowStore) takeUsage(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	var u WindowReport
	if u.Tenure, err = platform.DecodeTenure(r.Header); err == nil {
		u.Window, u.Counts, err = platform.DecodeUsage(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = append(s.usage, u)
	reply(w, []byte("{}"), nil)
}
