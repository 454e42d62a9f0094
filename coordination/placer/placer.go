package placer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishspoke"
)

// ErrNone says that a group has no target for a request.
var ErrNone = errors.New("group has no usable target")

// Settings of a Placer.
type Settings struct {
	Zone string // of this process

	// ReadRate is how many prompt tokens an engine reads in a second;
	// 406,000 if zero, as the platform states it.
	ReadRate float64

	// Distance is what another zone costs a request, expressed as time;
	// 2 ms if zero: a round trip and the slower transfer of its KV cache.
	Distance time.Duration

	// Memory is how long a part that was read counts as cached; 4 s if zero:
	// in a rush an engine reads as much as its cache holds in that time.
	Memory time.Duration

	// Waste weighs the time of reading a part again that another engine has
	// cached: in a rush it is taken from the requests that come after, and
	// moving a part empties a cache of others; 50 if zero, which leaves an
	// engine only for one that has fallen behind by half a second.
	Waste float64
}

const (
	defaultReadRate = 406_000
	defaultDistance = 2 * time.Millisecond
	defaultMemory   = 4 * time.Second
	defaultWaste    = 50

	firstEjection = 500 * time.Millisecond // after one failure; doubles with each
	mostEjection  = 8 * time.Second

	// mostParts bounds the parts remembered for one engine.
	mostParts = 4096

	// transferTime is one hand-over of a prompt's KV cache; engines make
	// them one after the other.
	transferTime = 2 * time.Millisecond

	// shortTime is what one request under way adds for an answer that is
	// generated beside it: streams are spread evenly.
	shortTime = 3 * time.Millisecond

	// slotTime is the time until a slot of an engine is free again, for each
	// request that waits.
	slotTime = 30 * time.Millisecond

	// failureCost weighs a target's share of failed requests against its
	// queue: a target that always fails counts as that much slower.
	failureCost   = 400 * time.Millisecond
	failureWeight = 0.1 // of the newest outcome in the mean

	// manyRefusals is the number of refusals in a row after which a target
	// is passed over for a while.
	manyRefusals = 2

	// manyLapses is the number of KV caches in a row that an engine could
	// not hand over, after which nothing is read there for lapseEjection.
	manyLapses    = 3
	lapseEjection = time.Second

	paceWeight = 0.1 // of the newest hand-over in the mean
	mostPace   = 300 * time.Millisecond

	// generatorSlowness is how much longer an engine that generates takes to
	// read a prompt.
	generatorSlowness = 2
)

func (s *Settings) fill() {
	if s.ReadRate == 0 {
		s.ReadRate = defaultReadRate
	}
	if s.Distance == 0 {
		s.Distance = defaultDistance
	}
	if s.Memory == 0 {
		s.Memory = defaultMemory
	}
	if s.Waste == 0 {
		s.Waste = defaultWaste
	}
}

// target is what is known of one target.
type target struct {
	radishspoke.Instance
	busy     int // requests of this process under way
	waiting  int // as the target said last
	slots    int
	failures int           // in a row, without a sign of life
	refusals int           // in a row
	lapses   int           // in a row, of KV caches that the target kept
	ejected  time.Duration // until when the target is passed over
	lapsing  time.Duration // until when nothing is read there
	pace     time.Duration // mean time of the hand-over of a KV cache
	failed   float64       // mean share of failed requests
	parts    map[string]time.Duration
}

// Placer chooses targets. Its methods may be called at once from many
// goroutines. Make it with New.
type Placer struct {
	settings Settings
	clock    radishspoke.Clock

	mu      sync.Mutex
	random  *rand.Rand
	targets map[string]*target
	groups  map[string][]*target
}

// New returns a Placer that knows no targets.
func New(s Settings, c radishspoke.Clock, r *rand.Rand) *Placer {
	s.fill()
	return &Placer{settings: s, clock: c, random: r, targets: map[string]*target{}, groups: map[string][]*target{}}
}

// List replaces the targets.
func (p *Placer) List(list []radishspoke.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*target, len(list))
	groups := map[string][]*target{}
	for _, i := range list {
		t, ok := p.targets[i.ID]
		if !ok || !t.Born.Equal(i.Born) {
			t = &target{slots: i.Slots, parts: map[string]time.Duration{}, pace: transferTime}
		}
		t.Instance = i
		next[i.ID] = t
		if !i.Leaving {
			groups[i.Group] = append(groups[i.Group], t)
		}
	}
	p.targets, p.groups = next, groups
}

// Full tells whether every engine of a group that generates is passed over at
// present, so that a prompt would be read for nothing.
func (p *Placer) Full(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	generators := 0
	for _, t := range p.groups[group] {
		if t.Role != radishspoke.DecodeRole {
			continue
		}
		if now >= t.ejected {
			return false
		}
		generators++
	}
	return generators > 0
}

// Queue tells how long a new request would wait for its turn at an engine and
// take it.
type Queue func(engine string) time.Duration

// Reader chooses the engine that reads a prompt; it may be one that generates.
// It returns the expected time until the prompt is read.
func (p *Placer) Reader(group string, g *radishspoke.Generating, q Queue, not map[string]bool) (radishspoke.Instance, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared, own := split(g)
	home := p.home(group, shared)
	var best *target
	var least, expected time.Duration
	consider := func(t *target, slowness int) {
		read := p.readTime(own * slowness)
		again := time.Duration(0)
		if t != home && !p.cached(t, shared) {
			again = p.readTime(sharedTokens(g) * slowness)
		}
		wait := q(t.ID)
		cost := wait + read + time.Duration(p.settings.Waste*float64(again)) + p.penalty(t)
		if best == nil || cost < least {
			best, least, expected = t, cost, wait+read+again
		}
	}
	for _, t := range p.usable(group, radishspoke.PrefillRole, not) {
		consider(t, 1)
	}
	generators := p.usable(group, radishspoke.DecodeRole, not)
	if best == nil {
		for _, t := range generators {
			consider(t, generatorSlowness)
		}
	}
	if best == nil {
		return radishspoke.Instance{}, 0, ErrNone
	}
	if shared != "" {
		best.remember(shared, p.clock.Now())
	}
	return best.Instance, expected, nil
}

// Generator chooses the engine that generates an answer after another engine,
// in the zone from, has read the prompt.
func (p *Placer) Generator(group, from string, not map[string]bool) (radishspoke.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.least(p.usable(group, radishspoke.DecodeRole, not), func(t *target) time.Duration {
		cost := t.crowd() + time.Duration(t.busy+1)*t.pace
		if t.Zone != from {
			cost += p.settings.Distance
		}
		return cost
	}, transferTime)
}

// Short chooses the engine that reads a short prompt and answers it.
func (p *Placer) Short(group string, not map[string]bool) (radishspoke.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.least(p.usable(group, radishspoke.DecodeRole, not), func(t *target) time.Duration {
		return t.crowd() + time.Duration(t.busy)*shortTime
	}, shortTime)
}

// crowd returns what the requests that wait for a slot of an engine cost one
// more.
func (t *target) crowd() time.Duration { return time.Duration(t.waiting) * slotTime }

// plainTime is what one more request under way adds at a plain service with
// one slot.
const plainTime = 30 * time.Millisecond

// Plain chooses a target of a plain service.
func (p *Placer) Plain(group string, not map[string]bool) (radishspoke.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.least(p.usable(group, "", not), func(t *target) time.Duration {
		return time.Duration(max(0, t.busy+1-t.slots/2)+t.waiting) * plainTime
	}, plainTime)
}

// least returns the target with the least cost. A random part, up to spread,
// keeps processes from moving together.
func (p *Placer) least(list []*target, cost func(*target) time.Duration, spread time.Duration) (radishspoke.Instance, error) {
	var best *target
	var least time.Duration
	for _, t := range list {
		c := cost(t) + p.penalty(t) + time.Duration(p.random.Int64N(int64(spread)+1))
		if best == nil || c < least {
			best, least = t, c
		}
	}
	if best == nil {
		return radishspoke.Instance{}, ErrNone
	}
	return best.Instance, nil
}

// usable returns the targets of a group and role that are not ejected, or
// else the one that is back first.
func (p *Placer) usable(group string, role radishspoke.Role, not map[string]bool) []*target {
	now := p.clock.Now()
	var out []*target
	var first *target
	for _, t := range p.groups[group] {
		if t.Role != role || not[t.ID] {
			continue
		}
		// After an ejection, one request at a time shows whether it is over.
		if now >= max(t.ejected, t.lapsing) && (t.failures == 0 || t.busy == 0) {
			out = append(out, t)
		} else if first == nil || max(t.ejected, t.lapsing) < max(first.ejected, first.lapsing) {
			first = t
		}
	}
	if len(out) == 0 && first != nil {
		out = append(out, first)
	}
	return out
}

func (p *Placer) penalty(t *target) time.Duration {
	d := time.Duration(t.failed * float64(failureCost))
	if t.Zone != p.settings.Zone {
		d += p.settings.Distance
	}
	return d
}

func (p *Placer) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.settings.ReadRate * float64(time.Second))
}

// home returns the engine that every process prefers for a shared part.
func (p *Placer) home(group, part string) *target {
	var best *target
	var most uint64
	for _, t := range p.groups[group] {
		if t.Role != radishspoke.PrefillRole {
			continue
		}
		if h := xxhash.Sum64String(part + "@" + t.Address); best == nil || h > most {
			best, most = t, h
		}
	}
	return best
}

func (p *Placer) cached(t *target, part string) bool {
	at, ok := t.parts[part]
	return ok && p.clock.Now()-at < p.settings.Memory
}

func (t *target) remember(part string, now time.Duration) {
	if len(t.parts) >= mostParts {
		clear(t.parts)
	}
	t.parts[part] = now
}

// split returns the last part that a prompt shares with others, and the tokens
// that are its own.
func split(g *radishspoke.Generating) (shared string, own int) {
	if n := len(g.Parts); n >= 2 {
		return g.Parts[n-2].ID, g.Parts[n-1].Tokens
	}
	return "", g.Prompt
}

func sharedTokens(g *radishspoke.Generating) int {
	_, own := split(g)
	return max(0, g.Prompt-own)
}
