package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	limitWindow = 4 * time.Second

	// Stated limits, in requests a second.
	leastLimit    = 1.0
	greatestLimit = 12.0
)

// limitCheck records the requests that reach a target with a limit.
type limitCheck struct {
	mu       sync.Mutex
	target   *target // nil while none has a limit
	limit    float64 // requests a second
	instance string  // that has stated the limit
	since    time.Time
	arrivals []time.Time         // at that instance
	most     int                 // in limitWindow
	entries  map[string]*process // by request ID
}

// begin has a target state a limit.
func (l *limitCheck) begin(t *target, random *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target, l.limit = t, leastLimit+(greatestLimit-leastLimit)*random.Float64()
	l.entries = map[string]*process{}
}

// end has the target state no limit any more.
func (l *limitCheck) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = nil
}

// recordSent records that a caller sends a request.
func (l *limitCheck) recordSent(id string, entry *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target != nil {
		l.entries[id] = entry
	}
}

// recordArrival records that a request has reached an instance of a target. It returns the
// limit to state, and false if there is none.
func (l *limitCheck) recordArrival(t *target, instance, id string) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t != l.target {
		return 0, false
	}
	now := time.Now()
	if instance != l.instance {
		l.instance, l.since, l.arrivals = instance, now, nil
	}
	if e, ok := l.entries[id]; ok && e.inTouch() && now.Sub(l.since) > contactTime {
		l.arrivals = append(l.arrivals, now)
		for now.Sub(l.arrivals[0]) > limitWindow {
			l.arrivals = l.arrivals[1:]
		}
		l.most = max(l.most, len(l.arrivals))
	}
	return l.limit, true
}

// evaluate returns a finding if the target got too many requests.
func (l *limitCheck) evaluate() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := 1.5*l.limit*limitWindow.Seconds() + 5
	if float64(l.most) <= allowed {
		return nil
	}
	return []Finding{{"limit", "", fmt.Sprintf("a target with a limit of %.1f requests a second got %d in %v, allowed %.0f", l.limit, l.most, limitWindow, allowed)}}
}
