package soaker

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"radishspoke/internal/fake"
)

// changeTime is the maximum time until an undisturbed entry applies a change of the
// configuration, if the store serves one of the undisturbed entries.
const changeTime = 2 * time.Second

// staleCheck keeps since when the configuration has had each key, and when the store served
// nobody.
type staleCheck struct {
	mu    sync.Mutex
	valid map[string]time.Time // by key
	down  bool                 // the store serves nobody
	upAt  time.Time            // when it served again
}

// setValid records that the configuration has a key from now on, or that it may not have it.
func (c *staleCheck) setValid(key string, valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.valid == nil {
		c.valid = map[string]time.Time{}
	}
	if delete(c.valid, key); valid {
		c.valid[key] = time.Now()
	}
}

// setDown records whether the store serves nobody.
func (c *staleCheck) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down = down; !down {
		c.upAt = time.Now()
	}
}

// since returns the time since which the configuration has had a key while the store served,
// and false if it does not have it, or does not serve.
func (c *staleCheck) since(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.valid[key]
	if c.upAt.After(at) {
		at = c.upAt
	}
	return at, ok && !c.down
}

// upSince returns when the store served again, zero if it was never down, and false if it does
// not serve.
func (c *staleCheck) upSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upAt, !c.down
}

// setStoreDown makes the store refuse all calls, or serve again.
func (s *Soak) setStoreDown(down bool) {
	f := fake.RowStoreFaults{}
	if down {
		f.Status = http.StatusServiceUnavailable
	}
	s.store.SetFaults(f)
	s.stale.setDown(down)
}

// checkRefusedKey checks that an entry which refuses the key of a request, sent at the time
// began, does not do so by an older configuration.
func (s *Soak) checkRefusedKey(q requestRecord, entry *process, began time.Time) {
	since, ok := s.stale.since(q.key)
	late := began.Sub(since) - changeTime - s.lag.maxSince(since) - entry.delays.sumSince(since)
	if !ok || late <= 0 || !entry.inTouch() {
		return
	}
	for _, p := range s.entries {
		if p != entry && p.inTouch() && p.store.healthyFor(max(contactTime, time.Since(since))) {
			s.recorder.addFinding("stale", q.id, "entry %s refuses a key that the configuration has had for %v, and that %s could read all the time", entry.name, began.Sub(since), p.name)
			return
		}
	}
}

// planTurnedAway adds the events of times in which the store turns most entries away, while a
// key that was withdrawn before is added again.
func (s *Soak) planTurnedAway(random *rand.Rand, add func(at time.Duration, apply func(), format string, args ...any)) {
	for range 2 {
		at := s.settings.Quiet + time.Duration(random.Int64N(int64(s.settings.Length*2/3)))
		key := s.keys[random.IntN(len(s.keys))]
		link := []linkState{{StallUpstream: true}, {StallDownstream: true}, {Refuse: true}}[random.IntN(3)]
		turned := random.Perm(len(s.entries))[1:]
		add(at, func() { s.setWithdrawn(key, true) }, "withdraw key %s", key)
		at += time.Second
		for _, n := range turned {
			p := s.entries[n]
			add(at, func() { p.store.setLink(link, link.Refuse) }, "store turns %s away: %+v", p.name, link)
			add(at+5*time.Second, func() { p.store.setLink(linkState{}, false) }, "store serves %s", p.name)
		}
		at += time.Duration(random.Int64N(int64(time.Second)))
		add(at, func() { s.setWithdrawn(key, false) }, "key %s is valid again", key)
	}
}
