package registrar

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// Key identifies a stream by the team of its caller and the id of the request whose
// answer brought the first event.
type Key uint64

// NewKey returns the key of a stream. The team is part of it, so that no team can resume
// the stream of another one.
func NewKey(team, request string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(team) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(request)
	return Key(d.Sum64())
}

// Version is a version of the software of a group.
type Version struct {
	Group    string
	Software string
}

// Record tells which version began a stream.
type Record struct {
	Key Key

	// Version is zero if different versions have begun streams with the same key.
	Version Version

	Until time.Duration // time on the clock of the process until which the record is kept
}

const (
	// maxRecords bounds the memory of a Registry. Further records are dropped.
	maxRecords = 1 << 17

	sweepInterval = time.Second
)

// Registry holds records of streams in memory. It is safe for concurrent use. Create it
// with NewRegistry.
type Registry struct {
	clock radishspoke.Clock

	mu      sync.Mutex
	records map[Key]Record
	swept   time.Duration
}

// NewRegistry returns an empty Registry.
func NewRegistry(c radishspoke.Clock) *Registry {
	return &Registry{clock: c, records: map[Key]Record{}}
}

// Put adds records.
func (r *Registry) Put(records ...Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if now-r.swept >= sweepInterval {
		r.swept = now
		for k, o := range r.records {
			if o.Until <= now {
				delete(r.records, k)
			}
		}
	}
	for _, o := range records {
		old, ok := r.records[o.Key]
		switch {
		case o.Until <= now, !ok && len(r.records) >= maxRecords:
			continue
		case ok && old.Until > now && old.Version != o.Version:
			o.Version = Version{}
			fallthrough
		case ok && old.Until > now:
			o.Until = max(o.Until, old.Until)
		}
		r.records[o.Key] = o
	}
}

// Find returns the record of a stream, and false if there is none.
func (r *Registry) Find(k Key) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.records[k]
	return o, ok && o.Until > r.clock.Now()
}

// Records returns all records.
func (r *Registry) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	out := make([]Record, 0, len(r.records))
	for _, o := range r.records {
		if o.Until > now {
			out = append(out, o)
		}
	}
	return out
}

// Len returns the number of records, including those that have ended since the last Put.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
