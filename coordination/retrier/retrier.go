package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows a number of retries for each request seen. Its methods may be
// called at once from many goroutines. Make it with New.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	saved float64
	most  float64
}

const (
	mostSaved  = 100 // retries saved up
	firstSaved = 10  // retries at the start
)

// New returns a Budget of ratio retries for each request.
func New(ratio float64) *Budget { return &Budget{ratio: ratio, saved: firstSaved, most: mostSaved} }

// NewBounded returns a Budget of ratio retries for each request that saves up
// at most most, and has them at the start.
func NewBounded(ratio, most float64) *Budget { return &Budget{ratio: ratio, saved: most, most: most} }

// SetRatio changes the ratio.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// Request notes one request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.most, b.saved+b.ratio)
}

// Retry takes one retry, if there is one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

const (
	firstPause = 20 * time.Millisecond
	mostPause  = time.Second
)

// Pause returns how long to wait before try n, counted from 1: it doubles
// with each, up to one second, and is drawn from the upper half at random.
func Pause(n int, r *rand.Rand) time.Duration {
	d := min(firstPause<<min(n-1, 10), mostPause)
	return d/2 + time.Duration(r.Int64N(int64(d/2)))
}
