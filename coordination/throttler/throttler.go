package throttler

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/platform"
)

// maxAge is the time after which the limit of a target that is not listed any more is
// forgotten.
const maxAge = 10 * time.Minute

// target is what is known about one target.
type target struct {
	lifetime string // as listed; empty if it was not listed
	limited  bool
	rate     float64       // requests a second
	at       time.Duration // time of the newest statement
	bad      string        // newest value that was no rate
}

// Throttler keeps the limits of targets. It is safe for concurrent use. Create it with New.
type Throttler struct {
	clock radishspoke.Clock
	log   *slog.Logger

	mu        sync.Mutex
	lifetimes map[string]string  // of the listed instances, by id
	targets   map[string]*target // by instance id
	sent      int64              // requests to limited targets
}

// New returns a Throttler that knows no limits.
func New(c radishspoke.Clock, log *slog.Logger) *Throttler {
	return &Throttler{clock: c, log: log, lifetimes: map[string]string{}, targets: map[string]*target{}}
}

// Observe records what the answer to a request for the instance with the given id says
// about its limit. It ignores informational answers, and those of another instance.
func (t *Throttler) Observe(id string, status int, h http.Header) {
	if id == "" || status < http.StatusOK || status == http.StatusMisdirectedRequest {
		return
	}
	a := platform.DecodeAnswer(status, h)
	t.mu.Lock()
	defer t.mu.Unlock()
	g, known := t.targets[id]
	if !known {
		if !a.Limited && a.BadLimit == "" {
			return
		}
		g = &target{lifetime: t.lifetimes[id]}
		t.targets[id] = g
	}
	if a.BadLimit != "" { // says neither that there is a limit nor that there is none
		if a.BadLimit != g.bad {
			t.log.Warn("target states a limit that is no rate", "target", id, "value", a.BadLimit)
		}
		g.bad = a.BadLimit
		return
	}
	t.set(id, g, a.Limit, a.Limited, "answer")
}

// set records a limit, or that there is none.
func (t *Throttler) set(id string, g *target, rate float64, limited bool, source string) {
	switch {
	case limited && (!g.limited || rate != g.rate):
		t.log.Info("target states a limit", "target", id, "rate", rate, "before", g.rate, "from", source)
	case !limited && g.limited:
		t.log.Info("target states no limit any more", "target", id, "before", g.rate, "from", source)
	}
	g.limited, g.rate, g.at = limited, rate, t.clock.Now()
}

// Count records that a request is sent to a target.
func (t *Throttler) Count(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.targets[id]; ok && g.limited {
		t.sent++
	}
}

// Sent returns the number of requests that were sent to targets while they had a limit.
func (t *Throttler) Sent() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent
}

// Limited returns the number of targets that have a limit, and the sum of their rates in
// requests a second.
func (t *Throttler) Limited() (targets int, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.targets {
		if g.limited {
			targets++
			rate += g.rate
		}
	}
	return targets, rate
}

// Keep forgets what previous lifetimes of the listed instances have stated.
func (t *Throttler) Keep(list []radishspoke.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lifetimes = make(map[string]string, len(list))
	for _, i := range list {
		t.lifetimes[i.ID] = i.Lifetime()
	}
	now := t.clock.Now()
	for id, g := range t.targets {
		lifetime, listed := t.lifetimes[id]
		if g.lifetime == "" {
			g.lifetime = lifetime
		}
		if listed && lifetime != g.lifetime || !listed && now-g.at > maxAge {
			delete(t.targets, id)
		}
	}
}
