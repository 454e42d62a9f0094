package soaker

import (
	"math/rand/v2"
	"sync"
	"time"

	"radishspoke/platform"
)

const (
	// evacuateTime is the maximum time until an evacuated zone gets no requests.
	evacuateTime = 5 * time.Second

	// evacuatedZone is the zone of every second target of each kind. None of the processes is
	// in a zone with targets, so that all targets are equally far away.
	evacuatedZone = "c"
	targetZone    = "b"
)

// evacuationCheck records the requests that reach targets while a zone is evacuated.
type evacuationCheck struct {
	mu        sync.Mutex
	since     time.Time           // when the store had acknowledged the order; zero without one
	entries   map[string]*process // by request ID
	elsewhere int                 // requests that other targets got when the zone had to be evacuated
}

// set records that the zone is evacuated from now on, or not any more.
func (c *evacuationCheck) set(evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since = (time.Time{}); evacuated {
		c.since = time.Now()
	}
}

// recordSent records that a caller sends a request.
func (c *evacuationCheck) recordSent(id string, entry *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = map[string]*process{}
	}
	c.entries[id] = entry
}

// sent returns the entry that got a request, and the time of the order to evacuate, which is zero
// without one.
func (c *evacuationCheck) sent(id string) (entry *process, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[id], c.since
}

// checkEvacuated adds a finding if a request that a target received at a time was sent to an
// evacuated zone by processes that had to know that.
func (s *Soak) checkEvacuated(t *target, id string, at time.Time) {
	entry, since := s.evacuation.sent(id)
	if since.IsZero() || entry == nil {
		return
	}
	if up, ok := s.stale.upSince(); !ok {
		return
	} else if up.After(since) {
		since = up
	}
	late := at.Sub(since) - evacuateTime - s.lag.maxSince(since) - entry.delays.sumSince(since)
	if late <= 0 || !entry.inTouch() || !t.healthyFor(evacuateTime) {
		return
	}
	if t.zone != evacuatedZone {
		s.evacuation.mu.Lock()
		s.evacuation.elsewhere++
		s.evacuation.mu.Unlock()
		return
	}
	for _, p := range s.sidecars { // one of them may have relayed the request
		if !p.inTouch() {
			return
		}
	}
	for _, p := range s.entries {
		if p.inTouch() && p.store.healthyFor(max(contactTime, time.Since(since))) {
			s.recorder.addFinding("evac", id, "entry %s sent it to %s in an evacuated zone, %v after the time limit", entry.name, t.current(), late)
			return
		}
	}
}

// zoneOf returns the zone of the target with the given number among those of its kind.
func zoneOf(n int) string {
	if n%2 == 1 {
		return evacuatedZone
	}
	return targetZone
}

// planEvacuation adds the events of an evacuation that is withdrawn later.
func (s *Soak) planEvacuation(random *rand.Rand, add func(at time.Duration, apply func(), format string, args ...any)) {
	at := s.settings.Quiet + time.Duration(random.Int64N(int64(s.settings.Length/4)))
	long := evacuateTime + time.Duration(random.Int64N(int64(s.settings.Length/2)))
	add(at, func() {
		s.store.Put(platform.OperatorTable, platform.EvacuationPrefix+evacuatedZone, []byte("{}"))
		s.evacuation.set(true)
	}, "evacuate zone %s", evacuatedZone)
	add(at+long, func() {
		s.evacuation.set(false)
		s.store.Delete(platform.OperatorTable, platform.EvacuationPrefix+evacuatedZone)
	}, "take zone %s back", evacuatedZone)
}
