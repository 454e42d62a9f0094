//go:build review

package harness

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct{ Table, Part, Key string }

// row is a row in the format of the store.
type row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"Key"`
	Value     []byte `json:"Value,omitempty"`
	Ver       int64  `json:"Ver"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// snapshot is a copy of the content of a Store at a moment.
type snapshot struct {
	at   time.Time
	ver  int64
	rows map[rowKey]row
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	record  *Record
	started time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]row // dropped rows included, as tombstones
	era     int64
	away    bool
	changed chan struct{} // closed and replaced at each change
	copies  []snapshot    // the oldest first
}

// copyInterval and copiesKept say how often the store makes a copy of itself, and how
// many it keeps.
const (
	copyInterval = 100 * time.Millisecond
	copiesKept   = 200
)

// NewStore returns an empty Store.
func NewStore(r *Record) *Store {
	s := &Store{record: r, started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(copyInterval) {
			s.copy()
		}
	}()
	return s
}

// copy keeps a copy of the content.
func (s *Store) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	c := snapshot{at: time.Now(), ver: s.ver, rows: make(map[rowKey]row, len(s.rows))}
	for k, v := range s.rows {
		c.rows[k] = v
	}
	s.copies = append(s.copies, c)
	if n := len(s.copies) - copiesKept; n > 0 {
		s.copies = slices.Delete(s.copies, 0, n)
	}
}

// Put writes a row without a condition, as the operator and the workers do.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key, Value: data})
	s.notify()
}

// put sets a row at the present version. The caller holds the lock.
func (s *Store) put(r row) {
	r.Ver = s.ver
	s.rows[r.id()] = r
}

// notify wakes the feeds that wait. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetAway makes the store answer nothing but 503, or ends that.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// Restore brings the store back from the newest copy that is not younger than age. What the
// operator and the workers wrote since is written again.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(-age)
	c := s.copies[0]
	for _, o := range s.copies {
		if !o.at.After(until) {
			c = o
		}
	}
	old := s.rows
	s.ver, s.rows = c.ver, make(map[rowKey]row, len(c.rows))
	for k, v := range c.rows {
		s.rows[k] = v
	}
	s.era++
	var again []row
	for k, v := range old {
		if k.Table != operatorTable && k.Table != workerTable {
			continue
		}
		if r, ok := s.rows[k]; !ok || r.Ver != v.Ver {
			again = append(again, v)
		}
	}
	slices.SortFunc(again, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
	for _, r := range again {
		s.ver++
		s.put(r)
	}
	s.away = false
	s.notify()
	s.record.Printf("store: back from a copy that is %.1f s old, era %d", time.Since(c.at).Seconds(), s.era)
}

const (
	operatorTable = "op"
	workerTable   = "servers"
)

// answer is the body of the answers of the store.
type answer struct {
	Rows    []row   `json:"Rows,omitempty"`
	HasMore bool    `json:"HasMore"`
	Ver     int64   `json:"Ver"`
	NowMs   float64 `json:"NowMs"`
}

// write answers a call. The caller holds the lock.
func (s *Store) write(w http.ResponseWriter, status int, rows []row) {
	data, err := json.Marshal(answer{Rows: rows, Ver: s.ver, NowMs: float64(time.Since(s.started).Microseconds()) / 1000})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.write(w, http.StatusServiceUnavailable, nil)
		return
	}
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// get serves a read of a range of keys.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var out []row
	for k, v := range s.rows {
		if k.Table == q.Get("Table") && k.Part == q.Get("part") && !v.Tombstone && k.Key >= q.Get("From") && (q.Get("To") == "" || k.Key < q.Get("To")) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	s.write(w, http.StatusOK, out)
}

// transact serves a transaction.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRevision []row
		Puts             []row
		Remove           []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var current []row
	conflict := false
	for _, e := range tx.ExpectedRevision {
		now := s.rows[e.id()]
		if now.Tombstone {
			now = row{}
		}
		if now.Ver != e.Ver {
			conflict = true
		}
		if now.Ver > 0 {
			current = append(current, now)
		}
	}
	if conflict {
		s.write(w, http.StatusPreconditionFailed, current)
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		s.put(p)
	}
	for _, p := range tx.Remove {
		p.Value, p.Tombstone = nil, true
		s.put(p)
	}
	s.notify()
	s.write(w, http.StatusOK, nil)
}

// feed serves a read of the changes after a version.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("WaitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	era := s.era
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if after > s.ver || s.era != era {
			s.write(w, http.StatusGone, nil)
			return
		}
		if s.away {
			s.write(w, http.StatusServiceUnavailable, nil)
			return
		}
		var out []row
		for _, v := range s.rows {
			if v.Table == q.Get("Table") && v.Ver > after {
				out = append(out, v)
			}
		}
		if len(out) > 0 {
			slices.SortFunc(out, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
			s.write(w, http.StatusOK, out)
			return
		}
		changed, ended := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			s.write(w, http.StatusOK, nil)
			return
		}
	}
}
