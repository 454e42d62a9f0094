package router

import (
	"math/rand/v2"
	"time"

	"radishspoke"
)

// Settings holds the settings of a Router.
type Settings struct {
	// Zone is the availability zone of this process.
	Zone string

	// Sample is the number of random targets compared for one request, in
	// addition to those assumed to hold its prefix; 3 if zero.
	Sample int

	// ZoneLatency is the network time that is added for a target in another
	// zone; 1 ms if zero.
	ZoneLatency time.Duration

	// PrefillCost is the time to prefill one prompt token; 50 µs if zero.
	// A decode step takes StepBase, and StepCost for each running sequence;
	// 8 ms and 100 µs if zero. These values are fixed; the router does not
	// adjust them to measured times.
	PrefillCost time.Duration
	StepBase    time.Duration
	StepCost    time.Duration

	// OverflowRatio is the largest number of requests that are sent to a
	// target in excess of its slots, as a fraction of its slots; 0.125 if
	// zero. At least one such request is allowed.
	OverflowRatio float64

	// MaxReportAge is the age beyond which a target's last report no longer
	// counts and the target gets no requests; 5 s if zero.
	MaxReportAge time.Duration
}

const (
	defaultSample        = 3
	defaultZoneLatency   = time.Millisecond
	defaultPrefillCost   = 50 * time.Microsecond
	defaultStepBase      = 8 * time.Millisecond
	defaultStepCost      = 100 * time.Microsecond
	defaultOverflowRatio = 0.125
	defaultMaxReportAge  = 5 * time.Second
	serviceSlots         = 256 // requests that a service target runs at once
)

func (s *Settings) setDefaults() {
	if s.Sample == 0 {
		s.Sample = defaultSample
	}
	if s.ZoneLatency == 0 {
		s.ZoneLatency = defaultZoneLatency
	}
	if s.PrefillCost == 0 {
		s.PrefillCost = defaultPrefillCost
	}
	if s.StepBase == 0 {
		s.StepBase = defaultStepBase
	}
	if s.StepCost == 0 {
		s.StepCost = defaultStepCost
	}
	if s.OverflowRatio == 0 {
		s.OverflowRatio = defaultOverflowRatio
	}
	if s.MaxReportAge == 0 {
		s.MaxReportAge = defaultMaxReportAge
	}
}

// Work describes a request to the router.
type Work struct {
	// Pool is the model of a generation, or the group of a service call.
	Pool string

	// PromptTokens is the length of the prompt and OutputTokens the longest
	// answer allowed, in tokens. Both are zero for a service call.
	PromptTokens int
	OutputTokens int

	// Prefix holds the hash of each complete KV block of the prompt.
	Prefix []uint64

	// Exclude holds the names of targets that have failed this request.
	Exclude []string
}

// Router chooses targets. It does no input or output, starts no goroutines and
// is not safe for concurrent use. Create it with New.
type Router struct {
	settings Settings
	random   *rand.Rand
	targets  map[string]*target
	order    []*target // in the order passed to SetTargets
	pools    map[string][]*target
	prefixes *prefixIndex
	scratch  []*target // reused by sample

	// lengthRatios holds, by pool, the mean of an answer's length divided by
	// the longest length that its request allowed.
	lengthRatios map[string]float64
}

// target is the state of one target.
type target struct {
	radishspoke.Target
	load        radishspoke.Load
	reported    time.Duration // when load was received
	hasReport   bool
	unreachable bool

	// outstanding is the number of this process's requests that have not
	// ended, and pendingPrefill the number of prompt tokens of those whose
	// answer has not begun.
	outstanding    int
	pendingPrefill int

	// others and othersPrefill are the same counts for the requests of other
	// processes, as of the last report.
	others        int
	othersPrefill int
	history       history

	// failures is the number of consecutive failures. The target gets no
	// requests until ejectedUntil.
	failures     int
	ejectedUntil time.Duration
}

// New returns a Router without targets.
func New(s Settings, random *rand.Rand) *Router {
	s.setDefaults()
	return &Router{
		settings:     s,
		random:       random,
		targets:      map[string]*target{},
		pools:        map[string][]*target{},
		prefixes:     newPrefixIndex(),
		lengthRatios: map[string]float64{},
	}
}

// SetTargets replaces the targets. A target that stays, with the same sidecar
// address, keeps its state.
func (r *Router) SetTargets(list []radishspoke.Target) {
	old := r.targets
	r.targets = make(map[string]*target, len(list))
	r.pools = map[string][]*target{}
	r.order = r.order[:0]
	for _, t := range list {
		e := old[t.Name]
		if e == nil || e.Sidecar != t.Sidecar {
			e = &target{}
		}
		e.Target = t
		r.targets[t.Name] = e
		r.order = append(r.order, e)
		pool := poolOf(t)
		r.pools[pool] = append(r.pools[pool], e)
	}
}

// poolOf returns the pool of a target: the model of an engine, or the group of
// a service.
func poolOf(t radishspoke.Target) string {
	if t.Kind == radishspoke.EngineTarget {
		return t.Model
	}
	return t.Group
}

// Observe records a target's load report that was made the duration age ago.
func (r *Router) Observe(now, age time.Duration, l radishspoke.Load) {
	t, ok := r.targets[l.Target]
	if !ok {
		return
	}
	t.load, t.reported, t.hasReport, t.unreachable = l, now, true, false
	own := t.history.at(now - age)
	t.others = max(0, l.Running+l.Waiting-own.outstanding)
	t.othersPrefill = max(0, l.PrefillTokens-own.pendingPrefill)
}

// MarkUnreachable records that a target cannot be reached, until its next
// report.
func (r *Router) MarkUnreachable(name string) {
	if t, ok := r.targets[name]; ok {
		t.unreachable = true
	}
}

// MarkDraining records that a target takes no new requests, until its next
// report.
func (r *Router) MarkDraining(name string) {
	if t, ok := r.targets[name]; ok {
		t.load.Draining = true
	}
}

// Sent records that a request is sent to a target.
func (r *Router) Sent(now time.Duration, name string, w Work) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.outstanding++
	t.pendingPrefill += w.PromptTokens
	t.recordLoad(now)
	r.prefixes.add(name, w.Prefix)
}

// Began records that the answer to a request has begun, or that it never will.
// It must be called once for each call of Sent, before Ended.
func (r *Router) Began(now time.Duration, name string, w Work) {
	if t, ok := r.targets[name]; ok {
		t.pendingPrefill = max(0, t.pendingPrefill-w.PromptTokens)
		t.recordLoad(now)
	}
}

// recordLoad adds the current load of this process to the target's history.
func (t *target) recordLoad(now time.Duration) {
	t.history.add(ownLoad{at: now, outstanding: t.outstanding, pendingPrefill: t.pendingPrefill})
}

const (
	ejectAfter   = 3 // consecutive failures
	minEjectTime = 2 * time.Second
	maxEjectTime = 30 * time.Second
)

// Ended records that a request to a target is over, and whether the target
// failed it. After ejectAfter consecutive failures the target gets no requests
// for minEjectTime. The time doubles with each further failure, up to
// maxEjectTime.
func (r *Router) Ended(now time.Duration, name string, failed bool) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.outstanding = max(0, t.outstanding-1)
	t.recordLoad(now)
	if !failed {
		t.failures = 0
		return
	}
	t.failures++
	if t.failures >= ejectAfter {
		d := minEjectTime << min(t.failures-ejectAfter, 4)
		t.ejectedUntil = now + min(d, maxEjectTime)
	}
}

// Pick chooses a target that has room for w within its slots and the overflow that
// OverflowRatio allows. It returns false if there is none; Fastest then tells
// whether any target is usable.
func (r *Router) Pick(now time.Duration, w Work) (Choice, bool) {
	best, found := Choice{}, false
	for _, t := range r.sample(w) {
		if !r.usable(now, t, w) || !r.hasRoom(t) {
			continue
		}
		c := r.estimate(t, w)
		if !found || c.Total < best.Total {
			best, found = c, true
		}
	}
	if found {
		return best, true
	}
	return r.pickAny(now, w)
}

// pickAny compares all targets of the pool. Pick calls it when the sample holds
// no target with room. If no target is usable, it returns an ejected one that
// has room and is usable otherwise, so that ejection alone never leaves a pool
// without targets.
func (r *Router) pickAny(now time.Duration, w Work) (Choice, bool) {
	best, found := Choice{}, false
	pool := r.pools[w.Pool]
	candidates := 0
	for _, t := range pool {
		if !r.usable(now, t, w) {
			continue
		}
		candidates++
		if !r.hasRoom(t) {
			continue
		}
		if c := r.estimate(t, w); !found || c.Total < best.Total {
			best, found = c, true
		}
	}
	if found || candidates > 0 {
		return best, found
	}
	for _, t := range pool {
		if t.ejectedUntil > now && r.usable(t.ejectedUntil, t, w) && r.hasRoom(t) {
			return r.estimate(t, w), true
		}
	}
	return Choice{}, false
}

// sample returns the targets to compare: those assumed to hold the longest
// prefix of the prompt, and random ones. It returns the whole pool if that is
// no larger than the sample. The result is valid until the next call.
func (r *Router) sample(w Work) []*target {
	pool := r.pools[w.Pool]
	if len(pool) <= r.settings.Sample {
		return pool
	}
	out := r.scratch[:0]
	for _, name := range r.prefixes.holders(w.Prefix) {
		if t, ok := r.targets[name]; ok && poolOf(t.Target) == w.Pool {
			out = append(out, t)
		}
	}
	for range r.settings.Sample {
		out = append(out, pool[r.random.IntN(len(pool))])
	}
	r.scratch = out
	return out
}

// usable reports whether t may run w, with or without room: it is reachable, its
// last report is no older than MaxReportAge, it is neither draining nor ejected,
// runs the configured model, and has not failed w. A target with the decode role
// gets no prompts while the pool has a reachable target with BothRole.
func (r *Router) usable(now time.Duration, t *target, w Work) bool {
	if t.Draining || t.load.Draining || t.unreachable || !t.hasReport {
		return false
	}
	if now-t.reported > r.settings.MaxReportAge || now < t.ejectedUntil {
		return false
	}
	if t.Kind == radishspoke.EngineTarget && t.load.Model != "" && t.load.Model != t.Model {
		return false
	}
	if t.Kind == radishspoke.EngineTarget && t.load.Role == radishspoke.DecodeRole && len(r.pools[w.Pool]) > 1 && w.PromptTokens > 0 && r.hasRole(w.Pool, radishspoke.BothRole) {
		return false
	}
	for _, name := range w.Exclude {
		if name == t.Name {
			return false
		}
	}
	return true
}

// hasRole reports whether the pool has a reachable target of the role.
func (r *Router) hasRole(pool string, role radishspoke.Role) bool {
	for _, t := range r.pools[pool] {
		if t.load.Role == role && t.hasReport && !t.unreachable {
			return true
		}
	}
	return false
}
