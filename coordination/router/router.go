package router

import (
	"math/rand/v2"
	"time"

	"radishspoke"
)

// Settings of a Router.
type Settings struct {
	// Zone is the availability zone of this process.
	Zone string

	// Sample is the number of targets weighed for one request, besides
	// those thought to hold its prefix; 3 if zero.
	Sample int

	// ZoneDistance is the added time to a target in another zone; 1 ms if
	// zero.
	ZoneDistance time.Duration

	// PrefillCost is the time to read one prompt token, StepBase and
	// StepCost make the time of a decode step: base plus cost for each
	// running sequence. They are the values before any answer has been
	// seen; 50 µs, 8 ms and 100 µs if zero.
	PrefillCost time.Duration
	StepBase    time.Duration
	StepCost    time.Duration

	// Overflow is the number of requests sent to a target beyond its
	// slots, as a part of them; 0.125 if zero.
	Overflow float64

	// ReportAge is how old a report may be before its target is taken for
	// lost; 5 s if zero.
	ReportAge time.Duration
}

const (
	defaultSample       = 3
	defaultZoneDistance = time.Millisecond
	defaultPrefillCost  = 50 * time.Microsecond
	defaultStepBase     = 8 * time.Millisecond
	defaultStepCost     = 100 * time.Microsecond
	defaultOverflow     = 0.125
	defaultReportAge    = 5 * time.Second
	serviceSlots        = 256
)

func (s *Settings) fill() {
	if s.Sample == 0 {
		s.Sample = defaultSample
	}
	if s.ZoneDistance == 0 {
		s.ZoneDistance = defaultZoneDistance
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
	if s.Overflow == 0 {
		s.Overflow = defaultOverflow
	}
	if s.ReportAge == 0 {
		s.ReportAge = defaultReportAge
	}
}

// Work is what the router needs to know of a request.
type Work struct {
	// Pool is the model, or the group of a service.
	Pool string

	PromptTokens int
	OutputTokens int

	// Prefix holds a hash for each whole KV block of the prompt.
	Prefix []uint64

	// Exclude holds targets that have failed this request.
	Exclude []string
}

// Router chooses targets. It is a pure core: it must be called by one
// goroutine at a time. Make it with New.
type Router struct {
	settings Settings
	random   *rand.Rand
	targets  map[string]*target
	order    []*target
	pools    map[string][]*target
	prefixes *prefixIndex
	scratch  []*target

	// lengths holds how long answers are, as a part of what they may be,
	// by pool.
	lengths map[string]float64
}

// target is what is known of one target.
type target struct {
	radishspoke.Target
	load     radishspoke.Load
	reported time.Duration
	seen     bool
	lost     bool

	// outstanding counts this process's requests that have not ended, and
	// unread the prompt tokens of those that have not begun.
	outstanding int
	unread      int

	// others and othersUnread are what the last report had beyond that.
	others       int
	othersUnread int
	past         past

	// ejectedUntil keeps work away after failures in a row.
	failures     int
	ejectedUntil time.Duration
}

// New returns a Router without targets.
func New(s Settings, random *rand.Rand) *Router {
	s.fill()
	return &Router{
		settings: s,
		random:   random,
		targets:  map[string]*target{},
		pools:    map[string][]*target{},
		prefixes: newPrefixIndex(),
		lengths:  map[string]float64{},
	}
}

// SetTargets replaces the targets. What is known of those that stay is kept.
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

func poolOf(t radishspoke.Target) string {
	if t.Kind == radishspoke.EngineTarget {
		return t.Model
	}
	return t.Group
}

// Observe takes a target's report, which is that old.
func (r *Router) Observe(now, age time.Duration, l radishspoke.Load) {
	t, ok := r.targets[l.Target]
	if !ok {
		return
	}
	t.load, t.reported, t.seen, t.lost = l, now, true, false
	mine := t.past.at(now - age)
	t.others = max(0, l.Running+l.Waiting-mine.outstanding)
	t.othersUnread = max(0, l.PrefillTokens-mine.unread)
}

// Lost notes that a target cannot be reached.
func (r *Router) Lost(name string) {
	if t, ok := r.targets[name]; ok {
		t.lost = true
	}
}

// Drains notes that a target takes no new requests, until its next report.
func (r *Router) Drains(name string) {
	if t, ok := r.targets[name]; ok {
		t.load.Draining = true
	}
}

// Sent notes that a request has gone to a target.
func (r *Router) Sent(now time.Duration, name string, w Work) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.outstanding++
	t.unread += w.PromptTokens
	t.remember(now)
	r.prefixes.add(name, w.Prefix)
}

// Began notes that the answer to a request sent before has begun, or that it
// never will. It must be called once for each Sent, before Ended.
func (r *Router) Began(now time.Duration, name string, w Work) {
	if t, ok := r.targets[name]; ok {
		t.unread = max(0, t.unread-w.PromptTokens)
		t.remember(now)
	}
}

func (t *target) remember(now time.Duration) {
	t.past.add(share{at: now, outstanding: t.outstanding, unread: t.unread})
}

const (
	ejectAfter = 3 // failures in a row
	ejectTime  = 2 * time.Second
	mostEject  = 30 * time.Second
)

// Ended notes that a request to a target is over, and whether the target
// failed it. A target that fails several in a row gets no work for a time
// that doubles with each.
func (r *Router) Ended(now time.Duration, name string, failed bool) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.outstanding = max(0, t.outstanding-1)
	t.remember(now)
	if !failed {
		t.failures = 0
		return
	}
	t.failures++
	if t.failures >= ejectAfter {
		d := ejectTime << min(t.failures-ejectAfter, 4)
		t.ejectedUntil = now + min(d, mostEject)
	}
}

// Pick chooses a target for w that has room. It returns false if none has;
// Known tells whether there might be one later.
func (r *Router) Pick(now time.Duration, w Work) (Choice, bool) {
	best, found := Choice{}, false
	for _, t := range r.sample(w) {
		if !r.usable(now, t, w) || !r.room(t) {
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

// pickAny weighs every target of the pool, after the sample had none with
// room. When every target that works is ejected, it takes an ejected one:
// that is the floor under ejection.
func (r *Router) pickAny(now time.Duration, w Work) (Choice, bool) {
	best, found := Choice{}, false
	all := r.pools[w.Pool]
	alive := 0
	for _, t := range all {
		if !r.usable(now, t, w) {
			continue
		}
		alive++
		if !r.room(t) {
			continue
		}
		if c := r.estimate(t, w); !found || c.Total < best.Total {
			best, found = c, true
		}
	}
	if found || alive > 0 {
		return best, found
	}
	for _, t := range all {
		if t.ejectedUntil > now && r.usable(t.ejectedUntil, t, w) && r.room(t) {
			return r.estimate(t, w), true
		}
	}
	return Choice{}, false
}

// sample returns the targets to weigh: those that hold the longest prefix,
// and random ones.
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

// usable tells whether a target may be given w at all.
func (r *Router) usable(now time.Duration, t *target, w Work) bool {
	if t.Draining || t.load.Draining || t.lost || !t.seen {
		return false
	}
	if now-t.reported > r.settings.ReportAge || now < t.ejectedUntil {
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

func (r *Router) hasRole(pool string, role radishspoke.Role) bool {
	for _, t := range r.pools[pool] {
		if t.load.Role == role && t.seen && !t.lost {
			return true
		}
	}
	return false
}
