package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows a number of retries for each request. It is safe for concurrent
// use. Create it with New or NewBounded.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	available float64 // retries available now
	limit     float64 // maximum of available
}

const (
	maxAvailable     = 100 // retries
	initialAvailable = 10  // retries
)

// New returns a Budget that adds ratio retries for each request. It starts with
// 10 retries and accumulates at most 100.
func New(ratio float64) *Budget {
	return &Budget{ratio: ratio, available: initialAvailable, limit: maxAvailable}
}

// NewBounded returns a Budget that adds ratio retries for each request. It
// starts with limit retries and accumulates at most that many.
func NewBounded(ratio, limit float64) *Budget {
	return &Budget{ratio: ratio, available: limit, limit: limit}
}

// SetRatio sets the number of retries added for each request.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// SetLimit sets the maximum number of retries that accumulate. Retries beyond it are
// lost.
func (b *Budget) SetLimit(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.available = min(b.available, limit)
}

// Request records one request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.limit, b.available+b.ratio)
}

// Retry takes one retry from the budget. It returns false if there is none.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Return gives back a retry that was taken from the budget and not used.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.limit, b.available+1)
}

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff returns the delay before retry n, counted from 1. It is a random duration
// between half of a limit and the limit. The limit is 20 ms for the first retry and
// doubles with each further one, up to one second.
func Backoff(n int, r *rand.Rand) time.Duration {
	d := min(minBackoff<<min(n-1, 10), maxBackoff)
	return d/2 + time.Duration(r.Int64N(int64(d/2)))
}
