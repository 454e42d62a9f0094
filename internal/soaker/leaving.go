package soaker

import (
	"sync"
	"time"
)

// goneTime is the maximum time after which a request whose caller has left reaches a target.
const goneTime = 500 * time.Millisecond

// departure is a request whose caller has left before the end of the answer.
type departure struct {
	entry *process
	sent  time.Time
	left  time.Time
	plain bool // no sidecar can have the request
}

// departureCheck records the requests whose callers have left.
type departureCheck struct {
	mu       sync.Mutex
	requests map[string]departure // by ID
	tried    int                  // requests that reached a target after their callers had left, at any time
}

// add records that the caller of a request has left now.
func (c *departureCheck) add(id string, d departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = map[string]departure{}
	}
	d.left = time.Now()
	c.requests[id] = d
}

// counts returns the number of requests whose callers have left, and of those that reached a target
// after that.
func (c *departureCheck) counts() (left, tried int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests), c.tried
}

// checkLeft adds a finding if a request reaches a target long after its caller has left. That an
// entry was held up is no excuse, unless a sidecar may have the request: then the entry could not
// tell it.
func (s *Soak) checkLeft(t *target, id string) {
	c := &s.departures
	c.mu.Lock()
	d, ok := c.requests[id]
	if ok {
		c.tried++
	}
	c.mu.Unlock()
	if !ok || !d.plain && d.entry.disturbedSince(d.sent) {
		return
	}
	since := time.Since(d.left)
	if since <= goneTime || !t.healthyFor(since+goneTime) {
		return
	}
	instance := t.current()
	s.tasks.Go(func() {
		time.Sleep(goneTime) // what held this program up is measured after it
		if since > goneTime+s.lag.maxSince(d.left)+d.entry.delays.sumSince(d.left) {
			s.recorder.addFinding("gone", id, "it reached %s %v after its caller had left entry %s", instance, since, d.entry.name)
		}
	})
}
