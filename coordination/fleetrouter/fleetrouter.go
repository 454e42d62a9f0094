package fleetrouter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishspoke"
)

// ErrNoTarget is returned if a group has no target that can take a request.
var ErrNoTarget = errors.New("group has no usable target")

// Settings holds the parameters of a Router. A zero value selects the default.
type Settings struct {
	Zone string // availability zone of this process

	// PrefillRate is the number of prompt tokens that an engine prefills in one
	// second. The default is 406,000, the rate stated by the platform.
	PrefillRate float64

	// CrossZoneCost is the cost, expressed as time, of sending a request to
	// another availability zone. The default of 2 ms covers a round trip and the
	// slower transfer of the KV cache.
	CrossZoneCost time.Duration

	// CacheTTL is the time for which a prefilled part is assumed to be cached.
	// The default is 4 s: under peak load, an engine prefills enough prompts in
	// that time to fill its cache.
	CacheTTL time.Duration

	// RepeatPrefillWeight is the factor applied to the time of prefilling a part
	// again that another engine has cached. Under peak load that time delays the
	// requests that follow, and caching the part at a second engine evicts other
	// parts there. With the default of 50, a request goes to another engine only
	// if the queue of the preferred engine is about half a second longer.
	RepeatPrefillWeight float64
}

const (
	defaultPrefillRate         = 406_000
	defaultCrossZoneCost       = 2 * time.Millisecond
	defaultCacheTTL            = 4 * time.Second
	defaultRepeatPrefillWeight = 50

	firstEjection = 500 * time.Millisecond // after the first failure; doubles with each further one
	maxEjection   = 8 * time.Second

	// maxCachedParts is the maximum number of cached parts recorded for one
	// engine.
	maxCachedParts = 4096

	// transferTime is the assumed time of one KV cache transfer. An engine makes
	// its transfers one after the other.
	transferTime = 2 * time.Millisecond

	// shortRequestCost is the cost of each request in flight at an engine, as
	// seen by a further request with a short prompt. Engines generate all their
	// answers in parallel, so the cost only serves to spread streams evenly.
	shortRequestCost = 3 * time.Millisecond

	// slotWait is the expected time until an engine has a free slot, for each
	// request that waits there.
	slotWait = 30 * time.Millisecond

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

	// decodePrefillFactor is the time that a decode engine takes to prefill a
	// prompt, relative to a prefill engine.
	decodePrefillFactor = 2
)

func (s *Settings) setDefaults() {
	if s.PrefillRate == 0 {
		s.PrefillRate = defaultPrefillRate
	}
	if s.CrossZoneCost == 0 {
		s.CrossZoneCost = defaultCrossZoneCost
	}
	if s.CacheTTL == 0 {
		s.CacheTTL = defaultCacheTTL
	}
	if s.RepeatPrefillWeight == 0 {
		s.RepeatPrefillWeight = defaultRepeatPrefillWeight
	}
}

// target holds what is known about one target.
type target struct {
	radishspoke.Instance
	inFlight       int // requests of this process in flight
	waiting        int // queued requests, as last reported by the target
	slots          int
	failures       int                      // consecutive requests without a response
	refusals       int                      // consecutive refusals
	lostCaches     int                      // consecutive KV caches that the target could not transfer
	ejectedUntil   time.Duration            // end of the ejection
	noPrefillUntil time.Duration            // time until which the target gets no prompts to prefill
	meanTransfer   time.Duration            // moving average of the KV cache transfer time
	failureShare   float64                  // moving average of the share of failed requests
	cachedParts    map[string]time.Duration // time at which each prompt part was last sent here
}

// Router chooses targets. It is safe for concurrent use. Create it with New.
type Router struct {
	settings Settings
	clock    radishspoke.Clock

	mu      sync.Mutex
	random  *rand.Rand
	targets map[string]*target
	groups  map[string][]*target
}

// New returns a Router without targets.
func New(s Settings, c radishspoke.Clock, r *rand.Rand) *Router {
	s.setDefaults()
	return &Router{settings: s, clock: c, random: r, targets: map[string]*target{}, groups: map[string][]*target{}}
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
			t = &target{slots: i.Slots, cachedParts: map[string]time.Duration{}, meanTransfer: transferTime}
		}
		t.Instance = i
		next[i.ID] = t
		if !i.Leaving {
			groups[i.Group] = append(groups[i.Group], t)
		}
	}
	r.targets, r.groups = next, groups
}

// DecodeSaturated reports whether a group has decode engines and all of them are
// ejected, so that prefilling a prompt would be wasted work.
func (r *Router) DecodeSaturated(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	decodeEngines := 0
	for _, t := range r.groups[group] {
		if t.Role != radishspoke.DecodeRole {
			continue
		}
		if now >= t.ejectedUntil {
			return false
		}
		decodeEngines++
	}
	return decodeEngines > 0
}

// QueueDelay returns how long a new prompt is expected to wait at an engine and
// to be prefilled there.
type QueueDelay func(engine string) time.Duration

// PickPrefill returns the engine that prefills a prompt and the expected time
// until the prefill ends. Targets in exclude are not considered. PickPrefill
// returns a decode engine if no prefill engine is left, and ErrNoTarget if no
// decode engine is left either.
func (r *Router) PickPrefill(group string, g *radishspoke.GenerationInfo, queueDelay QueueDelay, exclude map[string]bool) (radishspoke.Instance, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	shared, own := splitPrompt(g)
	preferred := r.preferred(group, shared)
	var best *target
	var least, expected time.Duration
	consider := func(t *target, factor int) {
		prefill := r.prefillTime(own * factor)
		repeated := time.Duration(0)
		if t != preferred && !r.hasCached(t, shared) {
			repeated = r.prefillTime(sharedTokens(g) * factor)
		}
		wait := queueDelay(t.ID)
		cost := wait + prefill + time.Duration(r.settings.RepeatPrefillWeight*float64(repeated)) + r.penalty(t)
		if best == nil || cost < least {
			best, least, expected = t, cost, wait+prefill+repeated
		}
	}
	for _, t := range r.usable(group, radishspoke.PrefillRole, exclude) {
		consider(t, 1)
	}
	decoders := r.usable(group, radishspoke.DecodeRole, exclude)
	if best == nil {
		for _, t := range decoders {
			consider(t, decodePrefillFactor)
		}
	}
	if best == nil {
		return radishspoke.Instance{}, 0, ErrNoTarget
	}
	if shared != "" {
		best.markCached(shared, r.clock.Now())
	}
	return best.Instance, expected, nil
}

// PickDecode returns the engine that generates an answer after another engine,
// in the availability zone from, has prefilled the prompt. Targets in exclude are
// not considered. The error is ErrNoTarget.
func (r *Router) PickDecode(group, from string, exclude map[string]bool) (radishspoke.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leastCost(r.usable(group, radishspoke.DecodeRole, exclude), func(t *target) time.Duration {
		cost := t.waitingCost() + time.Duration(t.inFlight+1)*t.meanTransfer
		if t.Zone != from {
			cost += r.settings.CrossZoneCost
		}
		return cost
	}, transferTime)
}

// PickShort returns the engine that prefills a short prompt and generates the
// answer. Targets in exclude are not considered. The error is ErrNoTarget.
func (r *Router) PickShort(group string, exclude map[string]bool) (radishspoke.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leastCost(r.usable(group, radishspoke.DecodeRole, exclude), func(t *target) time.Duration {
		return t.waitingCost() + time.Duration(t.inFlight)*shortRequestCost
	}, shortRequestCost)
}

// waitingCost returns the cost that the requests waiting for a slot of an engine
// add to a further request.
func (t *target) waitingCost() time.Duration { return time.Duration(t.waiting) * slotWait }

// plainRequestCost is the cost of each request that waits at a target of a plain
// service, and of each one in flight beyond half of the slots of the target.
const plainRequestCost = 30 * time.Millisecond

// PickPlain returns the target of a plain service that has the least cost. Targets
// in exclude are not considered. The error is ErrNoTarget.
func (r *Router) PickPlain(group string, exclude map[string]bool) (radishspoke.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leastCost(r.usable(group, "", exclude), func(t *target) time.Duration {
		return time.Duration(max(0, t.inFlight+1-t.slots/2)+t.waiting) * plainRequestCost
	}, plainRequestCost)
}

// leastCost returns the target with the least cost, or ErrNoTarget if the list is
// empty. A random duration of up to jitter is added to each cost so that processes
// do not all choose the same target.
func (r *Router) leastCost(list []*target, cost func(*target) time.Duration, jitter time.Duration) (radishspoke.Instance, error) {
	var best *target
	var leastCost time.Duration
	for _, t := range list {
		c := cost(t) + r.penalty(t) + time.Duration(r.random.Int64N(int64(jitter)+1))
		if best == nil || c < leastCost {
			best, leastCost = t, c
		}
	}
	if best == nil {
		return radishspoke.Instance{}, ErrNoTarget
	}
	return best.Instance, nil
}

// usable returns the targets of a group and role that are neither excluded nor
// ejected nor paused after lost KV caches. If there are none, it returns the target
// that becomes usable first, unless all are excluded.
func (r *Router) usable(group string, role radishspoke.Role, exclude map[string]bool) []*target {
	now := r.clock.Now()
	var out []*target
	var first *target
	for _, t := range r.groups[group] {
		if t.Role != role || exclude[t.ID] {
			continue
		}
		// After an ejection, one request at a time probes the target until one
		// succeeds.
		if now >= max(t.ejectedUntil, t.noPrefillUntil) && (t.failures == 0 || t.inFlight == 0) {
			out = append(out, t)
		} else if first == nil || max(t.ejectedUntil, t.noPrefillUntil) < max(first.ejectedUntil, first.noPrefillUntil) {
			first = t
		}
	}
	if len(out) == 0 && first != nil {
		out = append(out, first)
	}
	return out
}

// penalty returns the cost of a target for its failures and its zone.
func (r *Router) penalty(t *target) time.Duration {
	d := time.Duration(t.failureShare * float64(failureCost))
	if t.Zone != r.settings.Zone {
		d += r.settings.CrossZoneCost
	}
	return d
}

func (r *Router) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.settings.PrefillRate * float64(time.Second))
}

// preferred returns the prefill engine that every process prefers for a shared
// part, by rendezvous hashing.
func (r *Router) preferred(group, part string) *target {
	var best *target
	var most uint64
	for _, t := range r.groups[group] {
		if t.Role != radishspoke.PrefillRole {
			continue
		}
		if h := xxhash.Sum64String(part + "@" + t.Address); best == nil || h > most {
			best, most = t, h
		}
	}
	return best
}

func (r *Router) hasCached(t *target, part string) bool {
	at, ok := t.cachedParts[part]
	return ok && r.clock.Now()-at < r.settings.CacheTTL
}

func (t *target) markCached(part string, now time.Duration) {
	if len(t.cachedParts) >= maxCachedParts {
		clear(t.cachedParts)
	}
	t.cachedParts[part] = now
}

// splitPrompt returns the id of the last part that a prompt shares with others, or
// "" if it shares none, and the number of tokens that it does not share.
func splitPrompt(g *radishspoke.GenerationInfo) (shared string, own int) {
	if n := len(g.Parts); n >= 2 {
		return g.Parts[n-2].ID, g.Parts[n-1].Tokens
	}
	return "", g.Prompt
}

func sharedTokens(g *radishspoke.GenerationInfo) int {
	_, own := splitPrompt(g)
	return max(0, g.Prompt-own)
}
