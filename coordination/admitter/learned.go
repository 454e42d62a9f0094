package admitter

import (
	"sync"
	"time"
)

// learnedKey names requests whose times are alike.
type learnedKey struct{ group, route string }

// SlotTimes learns how long requests hold a slot of the target that answers. It is safe for
// concurrent use. Create it with NewSlotTimes.
type SlotTimes struct {
	mu    sync.Mutex
	means map[learnedKey]float64 // seconds for one unit of a request
}

// NewSlotTimes returns SlotTimes that have learned nothing.
func NewSlotTimes() *SlotTimes { return &SlotTimes{means: map[learnedKey]float64{}} }

const (
	// slotWeight is the weight of the newest sample, and longWeight that of one that is longer
	// than expected at a plain target, where it may have waited.
	slotWeight = 0.05
	longWeight = 0.01
)

// Observe records that a request of some units, such as output tokens, held a slot for a time.
// The argument waits tells that the time may include a wait.
func (s *SlotTimes) Observe(group, route string, units float64, took time.Duration, waits bool) {
	if units <= 0 || took <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k, x := learnedKey{group, route}, took.Seconds()/units
	mean, ok := s.means[k]
	switch {
	case !ok:
		s.means[k] = x
	case waits && x > mean:
		s.means[k] += longWeight * (x - mean)
	default:
		s.means[k] += slotWeight * (x - mean)
	}
}

// Expect returns the time for which a request of some units holds a slot, and false if none
// has been observed.
func (s *SlotTimes) Expect(group, route string, units float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.means[learnedKey{group, route}]
	return time.Duration(x * units * float64(time.Second)), ok
}
