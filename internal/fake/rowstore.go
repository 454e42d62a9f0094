package fake

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"radishspoke/platform"
)

// RowStore is a fake of the store of an external platform, as an http.Handler. It
// implements the calls that radishspoke uses, including usage reports. Platform is
// its counterpart for radishspoke's own deployment. A RowStore is safe for concurrent
// use. Create it with NewRowStore.
type RowStore struct {
	router  *mux.Router
	started time.Time

	mu      sync.Mutex
	version int64                   // of the last write
	rows    map[rowKey]platform.Row // including deleted ones
	oldest  int64                   // lowest version after which a feed can be read
	era     int64                   // number of times that the store has come back from an older copy
	changed chan struct{}           // closed and replaced at each change
	faults  RowStoreFaults
	usage   []TimedReport
	calls   int
}

// RowStoreFaults are the faults that a RowStore can inject.
type RowStoreFaults struct {
	// Status is the status with which every call is rejected without an
	// effect; 0 for none.
	Status int

	// LoseResponses is the number of transactions, from the next one on, that
	// take effect but get no response.
	LoseResponses int
}

// WindowReport is a usage report for one window that a RowStore accepted. The
// Tenure is that of the reporter.
type WindowReport struct {
	platform.Tenure
	Window int64
	Counts map[string]int64 // by team
}

// TimedReport is a usage report with the time of its arrival.
type TimedReport struct {
	WindowReport
	At time.Time
}

type rowKey struct{ table, key string }

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	s := &RowStore{
		router: mux.NewRouter(), started: time.Now(), rows: map[rowKey]platform.Row{}, changed: make(chan struct{}),
	}
	s.router.HandleFunc(platform.GetPath, s.get)
	s.router.HandleFunc(platform.CommitPath, s.commit)
	s.router.HandleFunc(platform.FeedPath, s.feed)
	s.router.HandleFunc(platform.UsagePath, s.recordUsage)
	return s
}

// ServeHTTP implements http.Handler.
func (s *RowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	status := s.faults.Status
	s.calls++
	platform.EncodeEra(w.Header(), s.era)
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (s *RowStore) SetFaults(f RowStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history, so that feeds from earlier versions are rejected.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
}

// Backup is a copy of the content of a RowStore.
type Backup struct {
	version int64
	rows    map[rowKey]platform.Row
}

// Backup returns a copy of the content.
func (s *RowStore) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{version: s.version, rows: maps.Clone(s.rows)}
}

// Restore replaces the content by a copy, in a new era: what was written since is gone, and
// its versions are given out again. What the operators and the targets wrote since is
// written again. Feeds that wait go on from the version with which they began.
func (s *RowStore) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.rows
	s.version, s.rows, s.era = b.version, maps.Clone(b.rows), s.era+1
	var again []platform.Row
	for k, r := range lost {
		if (k.table == platform.OperatorTable || k.table == platform.InstanceTable) && s.rows[k].Version != r.Version {
			again = append(again, r)
		}
	}
	sort.Slice(again, func(i, j int) bool { return again[i].Version < again[j].Version })
	for _, r := range again {
		s.put(r)
	}
	s.notifyFeeds()
}

// Put writes a row without checking its version, as the operators or a target do.
func (s *RowStore) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(platform.Row{Table: table, Key: key, Value: value})
	s.notifyFeeds()
}

// Delete deletes a row.
func (s *RowStore) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(platform.Row{Table: table, Key: key, Deleted: true})
	s.notifyFeeds()
}

// Usage returns the usage reports accepted so far.
func (s *RowStore) Usage() []WindowReport {
	var out []WindowReport
	for _, u := range s.TimedUsage() {
		out = append(out, u.WindowReport)
	}
	return out
}

// TimedUsage returns the usage reports accepted so far, in the order of their arrival.
func (s *RowStore) TimedUsage() []TimedReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.usage)
}

// Calls returns the number of calls so far, including rejected ones.
func (s *RowStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// put writes a row with the next version. The store must be locked.
func (s *RowStore) put(r platform.Row) {
	s.version++
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Key}] = r
}

// notifyFeeds wakes the feeds that wait for a change. The store must be locked.
func (s *RowStore) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeRows responds with rows, the current version of the store, and the time since
// its creation, in whole milliseconds. The store must be locked.
func (s *RowStore) writeRows(w http.ResponseWriter, rows []platform.Row) {
	platform.EncodeEra(w.Header(), s.era)
	data, err := platform.EncodeRows(platform.Rows{Rows: rows, Version: s.version, Now: time.Since(s.started).Truncate(time.Millisecond)})
	writeResponse(w, data, err)
}

// writeResponse writes a JSON response, or status 500 with err if it is not nil. It
// ignores a failed write, which means that the caller has closed the connection.
func writeResponse(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// get responds with the rows of a range of keys, sorted by key.
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
	s.writeRows(w, rows)
}

// feed responds with the rows that changed after a version, sorted by version. If
// there are none, it waits for a change, up to the time in the request. It responds
// with status 410 if the history after that version is no longer complete.
func (s *RowStore) feed(w http.ResponseWriter, r *http.Request) {
	table, after, wait, err := platform.DecodeFeed(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		if after < s.oldest || first && after > s.version {
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
			s.writeRows(w, rows)
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
			s.writeRows(w, rows)
			s.mu.Unlock()
			return
		}
	}
}

// commit runs a transaction: it writes the changes if all expected rows have the
// expected versions, and responds with status 412 otherwise. A row that does not
// exist or is deleted has version 0.
func (s *RowStore) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller closed the connection
	}
	expected, changes, err := platform.DecodeCommit(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range expected {
		current := s.rows[rowKey{e.Table, e.Key}]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, c := range changes {
		s.put(c)
		s.version-- // all changes of a transaction have the same version
	}
	s.version++
	s.notifyFeeds()
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		panic(http.ErrAbortHandler)
	}
	s.writeRows(w, nil)
}

// recordUsage records a usage report.
func (s *RowStore) recordUsage(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller closed the connection
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
	s.usage = append(s.usage, TimedReport{WindowReport: u, At: time.Now()})
	writeResponse(w, []byte("{}"), nil)
}
