package fleetrouter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
	"radishspoke/coordination/estimator"
)

const (
	// minCacheTTL and maxCacheTTL bound the time for which a part is assumed to be
	// cached.
	minCacheTTL = time.Second
	maxCacheTTL = 30 * time.Second

	// copyWeight is the factor applied to the time of reading shared parts that another
	// engine holds or is preferred for, and copyTimeShare the cost of fetching them, as
	// a share of the time that is left. At the engine that holds a part, each use keeps
	// it in the cache; copies elsewhere are used rarely, are evicted, and are then read
	// again while the engines are busiest. The engine that holds the parts is left only
	// if its queue is far longer than that of others.
	copyWeight    = 50
	copyTimeShare = 0.5

	// decodePrefillFactor is the time that a decode engine takes to prefill a
	// prompt, relative to a prefill engine. The platform states it.
	decodePrefillFactor = 2
)

// QueueDelay returns how long a new prompt is expected to wait at an engine before
// it is prefilled.
type QueueDelay func(engine string) time.Duration

// Placement is the choice of an engine for the prefill of a prompt.
type Placement struct {
	Engine  radishspoke.Instance
	Wait    time.Duration // expected time in the queue of the engine
	Prefill time.Duration // expected time of the prefill after that
	Tokens  int           // number of tokens that the engine is expected to read
	Guessed bool          // the times are guesses, because none has been measured yet

	// FetchFrom is the address of an engine from which the shared parts of the prompt
	// can be fetched; empty if the engine holds them or none does.
	FetchFrom string
}

// PickPrefill returns the engine that prefills a prompt. It prefers those that are
// expected to have read it within the time left. PickPrefill returns a decode engine if
// no prefill engine is left, and ErrNoTarget if no decode engine is left either.
func (r *Router) PickPrefill(group radishspoke.Group, g *radishspoke.GenerationInfo, queueDelay QueueDelay, left time.Duration, sel Selection) (Placement, error) {
	ttl := r.cacheTTL(group)
	timing := r.timings.Timing(group.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.choosePrefill(group, g, queueDelay, left, sel, ttl, timing)
	if c.best == nil {
		return Placement{}, ErrNoTarget
	}
	r.limits.Take(c.best.ID)
	if c.shared != "" && !r.parts.Holds(c.shared, c.best.ID, ttl) {
		c.best.markPending(c.shared, r.clock.Now())
	}
	return c.out, nil
}

// CanPrefill reports whether PickPrefill would return an engine that is expected to have read
// the prompt within the time left.
func (r *Router) CanPrefill(group radishspoke.Group, g *radishspoke.GenerationInfo, queueDelay QueueDelay, left time.Duration, sel Selection) bool {
	sel.query = true
	ttl := r.cacheTTL(group)
	timing := r.timings.Timing(group.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.choosePrefill(group, g, queueDelay, left, sel, ttl, timing)
	return c.best != nil && c.inTime
}

// choosePrefill compares the engines for a prompt. The Router must be locked.
func (r *Router) choosePrefill(group radishspoke.Group, g *radishspoke.GenerationInfo, queueDelay QueueDelay, left time.Duration, sel Selection, ttl time.Duration, timing estimator.Timing) prefillChoice {
	c := prefillChoice{router: r, group: group, left: left, timing: timing, ttl: ttl, sel: sel}
	c.shared, c.own = splitPrompt(g)
	c.sharedTokens = max(0, g.Prompt-c.own)
	c.preferred = r.preferred(group.Name, c.shared, sel)
	if c.shared != "" {
		c.holders = r.parts.Holders(c.shared, ttl)
	}
	for _, t := range r.usable(group.Name, radishspoke.PrefillRole, sel) {
		c.consider(t, queueDelay(t.ID), 1)
	}
	if c.best == nil {
		for _, t := range r.usable(group.Name, radishspoke.DecodeRole, sel) {
			c.consider(t, queueDelay(t.ID), decodePrefillFactor)
		}
	}
	return c
}

// prefillChoice compares the engines for one prompt.
type prefillChoice struct {
	router       *Router
	group        radishspoke.Group
	timing       estimator.Timing
	ttl          time.Duration
	left         time.Duration
	sel          Selection
	shared       string // id of the last shared part; empty if there is none
	sharedTokens int
	own          int      // tokens that are not shared
	holders      []string // engines that hold the shared parts, by id
	preferred    *target

	best   *target
	inTime bool          // the best target is expected to read the prompt within the time left
	least  time.Duration // cost of the best target
	out    Placement
}

// consider compares a target, with the given time in its queue, with the best one
// so far. The time of a prefill is multiplied by factor.
func (c *prefillChoice) consider(t *target, wait time.Duration, factor float64) {
	r := c.router
	slowness, _ := r.slowness(t)
	factor *= r.timings.Slowdown(t.ID) * slowness
	scale := func(d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
	p := Placement{Engine: t.Instance, Wait: wait, Tokens: c.own, Guessed: c.timing.Samples == 0}
	extra := time.Duration(0)
	ttl := c.ttl
	if t == c.preferred {
		ttl = maxCacheTTL // all processes use the part here, which keeps it in the cache
	}
	if c.shared != "" && !r.parts.Holds(c.shared, t.ID, ttl) && !t.isPending(c.shared, r.clock.Now()) {
		read := scale(c.timing.Prefill(c.sharedTokens) - c.timing.PrefillBase)
		source := c.source(t)
		fetch := r.fetchTime(c.group, c.sharedTokens, source)
		switch {
		case source != nil && fetch < read:
			p.FetchFrom = source.Address
			p.Prefill = fetch
			extra = max(fetch, time.Duration(copyTimeShare*float64(c.left)))
		case source != nil:
			p.Prefill, p.Tokens = read, p.Tokens+c.sharedTokens
			extra = (copyWeight - 1) * read
		default:
			p.Prefill, p.Tokens = read, p.Tokens+c.sharedTokens
			if t != c.preferred {
				extra = (copyWeight - 1) * read
			}
		}
	}
	p.Prefill += scale(c.timing.Prefill(c.own))
	cost := wait + p.Prefill + extra + r.penalty(t)
	inTime := wait+p.Prefill <= c.left
	if c.best == nil || inTime && !c.inTime || inTime == c.inTime && cost < c.least {
		c.best, c.inTime, c.least, c.out = t, inTime, cost, p
	}
}

// source returns an engine other than t that holds the shared parts, or nil.
func (c *prefillChoice) source(t *target) *target {
	for _, id := range c.holders {
		if s, ok := c.router.targets[id]; ok && s != t && !c.sel.Exclude[id] && c.sel.allowsRegion(s.Region) && s.failures == 0 && !c.router.avoided.Avoids(id) {
			return s
		}
	}
	return nil
}

// fetchTime returns the expected time in which an engine fetches a number of tokens
// from the KV cache of another one.
func (r *Router) fetchTime(group radishspoke.Group, tokens int, source *target) time.Duration {
	if source == nil || group.Engine == nil || group.Engine.Link <= 0 {
		return math.MaxInt64
	}
	d := group.Engine.TransferTime(tokens)
	if source.Zone != r.settings.Zone {
		d += r.settings.CrossZoneCost
	}
	return d + r.timings.Timing(group.Name).Transfer/2
}

// RecordPrefill records that an engine has prefilled a prompt, and therefore holds
// its shared parts.
func (r *Router) RecordPrefill(engine string, g *radishspoke.GenerationInfo) {
	shared, own := splitPrompt(g)
	r.parts.Record(shared, engine, max(0, g.Prompt-own))
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[engine]; ok {
		delete(t.pending, shared)
	}
}

// cacheTTL returns the time for which an engine of a group keeps a part in its
// cache after its last use: the time in which the engines read as many tokens as
// their caches hold.
func (r *Router) cacheTTL(group radishspoke.Group) time.Duration {
	if group.Engine == nil || group.Engine.CacheTokens <= 0 {
		return minCacheTTL
	}
	tokens := r.loads.Total(group.Name).Tokens
	r.mu.Lock()
	engines := 0
	for _, t := range r.groups[group.Name] {
		if t.Role == radishspoke.PrefillRole && !r.evacuated(t) {
			engines++
		}
	}
	r.mu.Unlock()
	if tokens <= 0 || engines == 0 {
		return maxCacheTTL
	}
	ttl := float64(group.Engine.CacheTokens) * float64(engines) / tokens
	return min(maxCacheTTL, max(minCacheTTL, time.Duration(ttl*float64(time.Second))))
}

const (
	// pendingTime is the time for which a part that was sent to an engine counts as
	// held there for further prompts, which wait behind the one that reads it.
	pendingTime = 2 * time.Second

	maxPending = 1024 // parts of one target
)

func (t *target) markPending(part string, now time.Duration) {
	if len(t.pending) >= maxPending {
		clear(t.pending)
	}
	t.pending[part] = now
}

func (t *target) isPending(part string, now time.Duration) bool {
	at, ok := t.pending[part]
	return ok && now-at < pendingTime
}

// preferred returns the prefill engine that every process prefers for a shared
// part, by rendezvous hashing, among those whose zone is not evacuated and whose region sel
// allows.
func (r *Router) preferred(group, part string, sel Selection) *target {
	var best *target
	var most uint64
	for _, t := range r.groups[group] {
		if t.Role != radishspoke.PrefillRole || r.evacuated(t) || !sel.allowsRegion(t.Region) {
			continue
		}
		if h := xxhash.Sum64String(part + "@" + t.Address); best == nil || h > most {
			best, most = t, h
		}
	}
	return best
}

// splitPrompt returns the id of the last part that a prompt shares with others, or
// "" if it shares none, and the number of tokens that it does not share.
func splitPrompt(g *radishspoke.GenerationInfo) (shared string, own int) {
	if n := len(g.Parts); n >= 2 {
		return g.Parts[n-2].ID, g.Parts[n-1].Tokens
	}
	return "", g.Prompt
}
