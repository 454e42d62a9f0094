package voucher

import (
	"sync"
	"time"

	"radishspoke"

	"radishspoke/internal/breaker"
)

// Bound is how long a process goes on without proof that its configuration is
// current.
const Bound = 8 * time.Second

// Report is what a peer said of itself.
type Report struct {
	Version int64
	At      time.Duration // before the question was sent
}

// Voucher keeps the reports of an entry's peers. Make it with New.
type Voucher struct {
	self  string
	clock radishspoke.Clock

	mu      sync.Mutex
	reports map[string]Report
	entries []string
	started time.Duration
}

// New returns a Voucher for the entry of that name.
func New(self string, c radishspoke.Clock) *Voucher {
	return &Voucher{self: self, clock: c, reports: map[string]Report{}, started: c.Now()}
}

// SetEntries notes the entries that there are, as the platform's list last
// showed them. It must not be called while the platform can't be reached.
func (v *Voucher) SetEntries(names []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entries = names
	for n := range v.reports {
		if !member(names, n) {
			delete(v.reports, n)
		}
	}
}

// Heard notes a peer's report.
func (v *Voucher) Heard(name string, r Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reports[name] = r
}

// Standing tells whether version may be trusted, given the age of the last
// proof that it is current.
func (v *Voucher) Standing(version int64, age time.Duration) bool {
	if version == 0 {
		return false
	}
	if age <= Bound || breaker.Is(breaker.Standing) {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !member(v.entries, v.self) {
		return false
	}
	now := v.clock.Now()
	votes := 1
	for _, n := range v.entries {
		r, ok := v.reports[n]
		if n == v.self || !ok || now-r.At > Bound {
			continue
		}
		if r.Version > version {
			return false
		}
		if r.Version == version {
			votes++
		}
	}
	return votes > len(v.entries)/2
}

func member(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
