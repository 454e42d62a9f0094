package avoider

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/platform"
)

// maxAge is the time after which what a target that is not listed any more has said is
// forgotten.
const maxAge = 10 * time.Minute

// target is what one target has said.
type target struct {
	lifetime string // as listed when it said so; empty if it was not listed
	leaving  bool
	paused   time.Duration // end of the pause
	at       time.Duration // time of the newest answer that said something
}

// Avoider keeps the targets to avoid. It is safe for concurrent use. Create it with New.
type Avoider struct {
	clock radishspoke.Clock
	log   *slog.Logger

	mu        sync.Mutex
	lifetimes map[string]string  // of the listed instances, by id
	targets   map[string]*target // by instance id
}

// New returns an Avoider without targets.
func New(c radishspoke.Clock, log *slog.Logger) *Avoider {
	return &Avoider{clock: c, log: log, lifetimes: map[string]string{}, targets: map[string]*target{}}
}

// Observe records what the answer to a request for the instance with the given id says. A
// misdirected request was answered by another instance, whose answer is ignored.
func (a *Avoider) Observe(id string, status int, h http.Header) {
	answer := platform.DecodeAnswer(status, h)
	if id == "" || status == http.StatusMisdirectedRequest || !answer.Leaving && answer.Pause == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.targets[id]
	if !ok {
		t = &target{}
		a.targets[id] = t
	}
	now := a.clock.Now()
	if answer.Leaving && !t.leaving {
		a.log.Info("target says that it leaves", "target", id)
	}
	if answer.Pause > 0 && now >= t.paused {
		a.log.Info("target asks for a pause", "target", id, "for", answer.Pause)
	}
	t.lifetime, t.leaving, t.at = a.lifetimes[id], t.leaving || answer.Leaving, now
	if answer.Pause > 0 {
		t.paused = max(t.paused, now+answer.Pause)
	}
}

// Avoids reports whether a target must get no requests now.
func (a *Avoider) Avoids(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.targets[id]
	return ok && (t.leaving || a.clock.Now() < t.paused)
}

// Pause returns the rest of the pause that a target has asked for. It returns false if
// there is none, or if the target leaves.
func (a *Avoider) Pause(id string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.targets[id]
	if !ok || t.leaving {
		return 0, false
	}
	left := t.paused - a.clock.Now()
	return left, left > 0
}

// Keep forgets what previous lifetimes of the listed instances have said.
func (a *Avoider) Keep(list []radishspoke.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lifetimes = make(map[string]string, len(list))
	for _, i := range list {
		a.lifetimes[i.ID] = i.Lifetime()
	}
	now := a.clock.Now()
	for id, t := range a.targets {
		lifetime, listed := a.lifetimes[id]
		if t.lifetime == "" {
			t.lifetime = lifetime
		}
		if listed && lifetime != t.lifetime || !listed && now-t.at > maxAge || !t.leaving && now >= t.paused {
			delete(a.targets, id)
		}
	}
}
