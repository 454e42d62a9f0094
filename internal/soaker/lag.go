package soaker

import (
	"sync"
	"time"
)

// lagMonitor measures the scheduling delay of this program, which is the time by
// which it wakes late, so that delays on a busy host are not mistaken for slow
// responses.
type lagMonitor struct {
	mu      sync.Mutex
	samples []lagSample
}

// lagSample is a scheduling delay that was measured at a time.
type lagSample struct {
	at  time.Time
	lag time.Duration
}

const (
	lagInterval = 10 * time.Millisecond
	minLag      = 20 * time.Millisecond // delays of at most this are not recorded
)

// run records scheduling delays until stop is closed.
func (m *lagMonitor) run(stop <-chan struct{}) {
	for {
		began := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		if lag := time.Since(began) - lagInterval; lag > minLag {
			m.mu.Lock()
			m.samples = append(m.samples, lagSample{time.Now(), lag})
			m.mu.Unlock()
		}
	}
}

// maxSince returns the longest delay recorded after t, 0 if there is none.
func (m *lagMonitor) maxSince(t time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var longest time.Duration
	for _, s := range m.samples {
		if s.at.After(t) {
			longest = max(longest, s.lag)
		}
	}
	return longest
}
