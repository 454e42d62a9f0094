package fleetrouter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/estimator"
	"radishspoke/coordination/forecaster"
)

// ErrNoTarget is returned if a group has no target that can take a request.
var ErrNoTarget = errors.New("group has no usable target")

// Timings provides the learned times of engines. See estimator.Estimator.
type Timings interface {
	Timing(group string) estimator.Timing
	Slowdown(engine string) float64
}

// Parts tells which engines hold which parts of prompts. See locator.Locator.
type Parts interface {
	Holds(part, engine string, maxAge time.Duration) bool
	Holders(part string, maxAge time.Duration) []string
	Record(part, engine string, tokens int)
}

// Loads provides the load of a group over all processes. See
// forecaster.Forecaster.
type Loads interface {
	Total(group string) forecaster.Load
}

// Avoided tells which targets must get no requests from this process. See
// avoider.Avoider.
type Avoided interface {
	Avoids(id string) bool
	Pause(id string) (time.Duration, bool)
}

// Limits tells which targets take further requests from this process, as far as their
// stated limits allow. See throttler.Throttler.
type Limits interface {
	Ask(id string)
	Admits(id string) bool
	Take(id string)
	Return(id string)
	Wait(id string) (time.Duration, bool)

	// Fallback reports whether a target may get a request that no other one takes, Claim whether
	// a request may be sent to a picked target now. Cold and Warmth tell whether the target is
	// cold, and which part of the slow start after that it has behind it.
	Fallback(id string) bool
	Claim(id string) bool
	Cold(id string) bool
	Warmth(id string) float64
}

// Evacuations tells which availability zones are evacuated, so that their targets get no new
// requests. See evacuator.Evacuator.
type Evacuations interface {
	Evacuated(zone string) bool
}

// Settings holds the parameters of a Router. A zero value selects the default.
type Settings struct {
	Zone string // availability zone of this process

	// CrossZoneCost is the cost, expressed as time, of sending a request to
	// another availability zone. The default of 2 ms covers a round trip and the
	// slower transfer of the KV cache.
	CrossZoneCost time.Duration

	// Evacuations tells which zones are evacuated. Nil means that none ever is.
	Evacuations Evacuations
}

const (
	defaultCrossZoneCost = 2 * time.Millisecond

	firstEjection = 500 * time.Millisecond // after the first failure; doubles with each further one
	maxEjection   = 8 * time.Second

	// failureCost is the cost added for a target whose requests all fail. The cost
	// is proportional to the share of failed requests.
	failureCost   = 400 * time.Millisecond
	failureWeight = 0.1 // weight of the newest outcome in the moving average

	// refusalLimit is the number of consecutive refusals after which an engine
	// is ejected.
	refusalLimit = 2

	// lostCacheLimit is the number of consecutive KV caches that an engine could
	// not transfer after which it gets no prompts for prefillPause.
	lostCacheLimit = 3
	prefillPause   = time.Second

	transferWeight = 0.1                    // weight of the newest transfer in the moving average
	maxTransfer    = 300 * time.Millisecond // upper bound of one sample in the moving average
)

func (s *Settings) setDefaults() {
	if s.CrossZoneCost == 0 {
		s.CrossZoneCost = defaultCrossZoneCost
	}
}

// target holds what is known about one target.
type target struct {
	radishspoke.Instance
	inFlight       int // requests of this process in flight
	waiting        int // queued requests, as last reported by the target
	slots          int
	load           load
	since          time.Duration            // time at which this process learned of the run of the target
	reserved       int                      // requests that are about to begin
	failures       int                      // consecutive requests without a response
	refusals       int                      // consecutive refusals
	lostCaches     int                      // consecutive KV caches that the target could not transfer
	ejectedUntil   time.Duration            // end of the ejection
	noPrefillUntil time.Duration            // time until which the target gets no prompts to prefill
	meanTransfer   time.Duration            // moving average of the KV cache transfer time
	failureShare   float64                  // moving average of the share of failed requests
	meanResponse   time.Duration            // moving average of the time until it answers; 0 if unknown
	pending        map[string]time.Duration // time at which this process last sent each part that the target may not have read yet
}

// Router chooses targets. It is safe for concurrent use. Create it with New.
type Router struct {
	settings Settings
	clock    radishspoke.Clock
	timings  Timings
	parts    Parts
	loads    Loads
	avoided  Avoided
	limits   Limits

	mu         sync.Mutex
	random     *rand.Rand
	targets    map[string]*target
	groups     map[string][]*target
	groupLoads map[string]*groupLoad // by group
}

// New returns a Router without targets.
func New(s Settings, c radishspoke.Clock, r *rand.Rand, t Timings, p Parts, l Loads, a Avoided, m Limits) *Router {
	s.setDefaults()
	return &Router{settings: s, clock: c, timings: t, parts: p, loads: l, avoided: a, limits: m, random: r, targets: map[string]*target{}, groups: map[string][]*target{}, groupLoads: map[string]*groupLoad{}}
}

// SetTargets replaces the targets. A target that is already known with the
// same start time keeps its statistics.
func (r *Router) SetTargets(list []radishspoke.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]*target, len(list))
	groups := map[string][]*target{}
	for _, i := range list {
		t, ok := r.targets[i.ID]
		if !ok || !t.StartTime.Equal(i.StartTime) {
			t = &target{slots: i.Slots, since: r.clock.Now(), pending: map[string]time.Duration{}}
		}
		t.Instance = i
		next[i.ID] = t
		if !i.Leaving {
			groups[i.Group] = append(groups[i.Group], t)
		}
	}
	r.targets, r.groups = next, groups
}

// DecodeSaturated reports whether a group has decode engines and all of them that have the
// given version of the software, or any if it is empty, are ejected, avoided or at their
// limit, so that prefilling a prompt would be wasted work.
func (r *Router) DecodeSaturated(group, software string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	decodeEngines := 0
	for _, t := range r.groups[group] {
		if t.Role != radishspoke.DecodeRole {
			continue
		}
		decodeEngines++
		if software != "" && t.Software != software {
			continue
		}
		if now >= t.ejectedUntil && !r.avoids(t) && (r.limits.Admits(t.ID) || r.limits.Fallback(t.ID)) {
			return false
		}
	}
	for _, t := range r.groups[group] {
		if t.Role == radishspoke.DecodeRole && !r.evacuated(t) {
			r.limits.Ask(t.ID) // the request ends here
		}
	}
	return decodeEngines > 0
}

// Pause returns the time until the first target of a group and role, or of any role if it
// is empty, takes requests again. It returns false if there is a target that can be used
// now, or none that has asked for a pause or has a limit.
func (r *Router) Pause(group string, role radishspoke.Role) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	least, found := time.Duration(0), false
	for _, t := range r.groups[group] {
		if role != "" && t.Role != role || r.evacuated(t) {
			continue
		}
		left, ok := r.avoided.Pause(t.ID)
		if !r.avoided.Avoids(t.ID) {
			if left, ok = r.limits.Wait(t.ID); !ok || left == 0 {
				return 0, false
			}
		}
		if ok && (!found || left < least) {
			least, found = left, true
		}
	}
	return least, found
}

// Leaving reports whether a target is shutting down, is not listed any more, must be
// avoided, or is in an evacuated zone.
func (r *Router) Leaving(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[id]
	return !ok || t.Instance.Leaving || r.avoids(t)
}

// avoids reports whether a target must get no requests from this process. KV caches may still
// be fetched from a target in an evacuated zone.
func (r *Router) avoids(t *target) bool { return r.evacuated(t) || r.avoided.Avoids(t.ID) }

// evacuated reports whether a target is in an evacuated zone.
func (r *Router) evacuated(t *target) bool {
	return r.settings.Evacuations != nil && r.settings.Evacuations.Evacuated(t.Zone)
}

// Limited reports whether a target of a group and role has a limit.
func (r *Router) Limited(group string, role radishspoke.Role) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.groups[group] {
		if t.Role == role && !r.evacuated(t) {
			if _, ok := r.limits.Wait(t.ID); ok {
				return true
			}
		}
	}
	return false
}

// Unpick records that no request is sent to a target that was picked.
func (r *Router) Unpick(id string) {
	r.limits.Return(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[id]; ok {
		t.reserved = max(0, t.reserved-1)
	}
}
