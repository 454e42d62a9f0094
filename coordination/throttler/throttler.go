package throttler

import (
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
	"radishspoke/platform"
)

const (
	// maxAge is the time after which the limit of a target that is not listed any more is
	// forgotten.
	maxAge = 10 * time.Minute

	// membersAge is the age up to which the list of processes, and their weights, are used
	// again.
	membersAge = 200 * time.Millisecond
)

// target is what is known about one target.
type target struct {
	lifetime string // as listed; empty if it was not listed
	limited  bool
	rate     float64            // requests a second
	at       time.Duration      // time of the newest statement
	ended    time.Duration      // time at which the limit ended
	bad      string             // newest value that was no rate
	demand   demand             // at this process
	others   map[string]float64 // demand at other processes
	permits  permits
	chill

	members   []member // this process first; not older than membersAge
	membersAt time.Duration
}

// Settings holds the parameters of a Throttler.
type Settings struct {
	Process string // name of this process

	// ColdOvershoot and ColdSlack bound the requests that a cold target may get in one
	// second: the rate of its group times ColdOvershoot, plus ColdSlack. If they leave no
	// margin beyond the rate, permits can be used for minColdValidity.
	ColdOvershoot float64
	ColdSlack     float64
}

// Throttler keeps the limits of targets. It is safe for concurrent use. Create it with New.
type Throttler struct {
	settings Settings
	clock    radishspoke.Clock
	log      *slog.Logger
	common   func() (time.Duration, bool)
	peers    func() radishspoke.Peers
	listedAt func() time.Duration

	mu        sync.Mutex
	groups    map[string]radishspoke.Group // as configured
	listed    map[string]string            // group of each listed instance, by id
	lifetimes map[string]string            // of the listed instances, by id
	targets   map[string]*target           // by instance id
	sent      int64                        // requests to limited targets
	names     []string                     // of the processes that send requests, this one first
	hashes    []uint64                     // of names
	namesAt   time.Duration
	equal     []member // all of them, with the same weight
	sure      bool     // this process is sure of its share of a cold target, as of namesAt
	created   time.Duration
	most      int // largest number of processes that was known since mostAt
	mostAt    time.Duration
}

// New returns a Throttler that knows no limits. The function common returns the time of a
// clock that all processes share, and false while it is not known. The function peers returns
// the other processes, which send requests to the same targets, and listedAt the time at which the
// list of targets was last known to be current.
func New(s Settings, c radishspoke.Clock, log *slog.Logger, common func() (time.Duration, bool), peers func() radishspoke.Peers, listedAt func() time.Duration) *Throttler {
	return &Throttler{
		settings: s, clock: c, log: log, common: common, peers: peers, listedAt: listedAt, created: c.Now(),
		groups: map[string]radishspoke.Group{}, lifetimes: map[string]string{}, targets: map[string]*target{},
	}
}

// Observe records what the answer to a request for the instance with the given id says
// about its limit. It ignores informational answers, and those of another instance.
func (t *Throttler) Observe(id string, status int, h http.Header) {
	if status < http.StatusOK || status == http.StatusMisdirectedRequest {
		return
	}
	t.ObserveAnswer(id, platform.DecodeAnswer(status, h))
}

// ObserveAnswer is like Observe, for the values in the headers of a final answer.
func (t *Throttler) ObserveAnswer(id string, a platform.AnswerHeader) {
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g, known := t.targets[id]
	if !known {
		if !a.Limited && a.BadLimit == "" && a.Cold == 0 && a.BadCold == "" {
			return
		}
		g = t.add(id)
	}
	t.observeCold(id, g, a)
	if a.BadLimit != "" { // says neither that there is a limit nor that there is none
		if a.BadLimit != g.bad {
			t.log.Warn("target states a limit that is no rate", "target", id, "value", a.BadLimit)
		}
		g.bad = a.BadLimit
		return
	}
	t.set(id, g, a.Limit, a.Limited, t.clock.Now(), "answer")
}

// add adds a target without a limit.
func (t *Throttler) add(id string) *target {
	g := &target{lifetime: t.lifetimes[id], others: map[string]float64{}, ended: never}
	g.group = t.listed[id]
	t.targets[id] = g
	return g
}

// set records a limit, or that there is none, as stated at the given time.
func (t *Throttler) set(id string, g *target, rate float64, limited bool, at time.Duration, source string) {
	switch {
	case limited && !g.limited:
		g.permits = permits{slot: t.slot()}
	case limited && rate < g.rate:
		g.permits.scale(effectiveRate(rate) / effectiveRate(g.rate))
	case !limited && g.limited:
		g.ended = at
		t.log.Info("target states no limit any more", "target", id, "before", g.rate, "from", source)
	}
	if limited && (!g.limited || rate != g.rate) {
		g.permits.next = 0
		t.log.Info("target states a limit", "target", id, "rate", rate, "before", g.rate, "from", source)
	}
	g.limited, g.rate, g.at = limited, rate, at
}

// slot returns the number of the present slot.
func (t *Throttler) slot() int64 {
	now, ok := t.common()
	if !ok {
		now = t.clock.Now()
	}
	return int64(now / slotLength)
}

// Ask records that there is a request for which a target would do.
func (t *Throttler) Ask(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.targets[id]; ok && g.limited {
		g.demand.add(1, t.clock.Now())
	}
}

// Admits reports whether a request may be sent to a target now.
func (t *Throttler) Admits(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok {
		return true
	}
	now := t.clock.Now()
	b := t.bound(id, g, now)
	switch {
	case b.cold:
		return t.certain(now) && t.unreserved(id, g, b, now) > 0
	case !b.limited:
		return true
	}
	t.advance(id, g, b, now)
	return len(g.permits.expiries) > 0
}

// Demand returns the limit of a target, and the rate of the requests at all processes for
// which it would do, both in requests a second. It returns false if the target has no limit.
func (t *Throttler) Demand(id string) (asked, limit float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok || !g.limited {
		return 0, 0, false
	}
	g.demand.add(0, t.clock.Now())
	asked = g.demand.rate
	for _, rate := range g.others {
		asked += rate
	}
	return asked, g.rate, true
}

// advance draws the permits of a target up to now, and returns the members.
func (t *Throttler) advance(id string, g *target, b bound, now time.Duration) []member {
	if g.members == nil || now-g.membersAt > membersAge {
		g.members, g.membersAt = t.members(g, b.cold, now), now
	}
	g.permits.advance(id, t.slot(), now, effectiveRate(b.rate), b.validity, g.members)
	return g.members
}

// refreshNames reads who sends requests, if what is known is old.
func (t *Throttler) refreshNames(now time.Duration) {
	if t.names != nil && now-t.namesAt <= membersAge {
		return
	}
	peers := t.peers()
	t.names = processNames(t.settings.Process, peers)
	t.hashes = t.hashes[:0]
	for _, n := range t.names {
		t.hashes = append(t.hashes, xxhash.Sum64String(n))
	}
	t.equal = make([]member, len(t.names))
	for i := range t.equal {
		t.equal[i] = member{hash: t.hashes[i], weight: 1 / float64(len(t.names))}
	}
	t.namesAt, t.sure = now, t.isSure(peers, now)
}

// members returns the processes that send requests to a target, this one first. Their
// weights add up to 1. They are equal for a cold target.
func (t *Throttler) members(g *target, cold bool, now time.Duration) []member {
	t.refreshNames(now)
	if cold {
		return t.equal
	}
	out := make([]member, len(t.names))
	total := 0.0
	for i, n := range t.names {
		out[i] = member{hash: t.hashes[i], weight: g.others[n]}
		if i == 0 {
			out[i].weight = g.demand.rate
		}
		total += out[i].weight
	}
	equal := 1 / float64(len(out))
	for i := range out {
		if total > 0 {
			out[i].weight = equalShare*equal + (1-equalShare)*out[i].weight/total
		} else {
			out[i].weight = equal
		}
	}
	return out
}

// processNames returns the names of the processes among which permits are drawn, the given one
// first. Those that are not known by name get others, so that each has its share.
func processNames(process string, peers radishspoke.Peers) []string {
	out := []string{process}
	for _, p := range peers.List {
		out = append(out, p.Process)
	}
	for n := peers.Count(); len(out) < n; {
		out = append(out, "unknown-"+strconv.Itoa(len(out)))
	}
	return out
}

// Take uses a permit for a request to a target, if the target is limited.
func (t *Throttler) Take(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok {
		return
	}
	now := t.clock.Now()
	switch b := t.bound(id, g, now); {
	case b.cold:
		t.reserve(g, b, now)
	case b.limited && len(g.permits.expiries) > 0:
		g.permits.expiries = g.permits.expiries[1:]
	}
}

// Return gives back a permit that was taken for a request that is not sent.
func (t *Throttler) Return(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok {
		return
	}
	b := t.bound(id, g, t.clock.Now())
	switch {
	case b.cold:
		g.reserved = g.reserved[:max(0, len(g.reserved)-1)]
	case b.limited:
		// It can be used for half of the usual time, as it may have been taken long ago.
		expiry := t.clock.Now() + b.validity/2
		k, _ := slices.BinarySearch(g.permits.expiries, expiry)
		g.permits.expiries = slices.Insert(g.permits.expiries, k, expiry)
	}
}

// Wait returns the time until a request may be sent to a target, at most maxValidity, and false if
// the target has no limit.
func (t *Throttler) Wait(id string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok {
		return 0, false
	}
	now := t.clock.Now()
	b := t.bound(id, g, now)
	if !b.limited {
		return 0, false
	}
	if b.cold && !t.certain(now) {
		return min(maxValidity, t.nextResort(id, g, b, now)), true
	}
	members := t.advance(id, g, b, now)
	if len(g.permits.expiries) > len(g.reserved) {
		return 0, true
	}
	return g.permits.wait(id, effectiveRate(b.rate), members), true
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
	t.lifetimes, t.listed = make(map[string]string, len(list)), make(map[string]string, len(list))
	for _, i := range list {
		t.lifetimes[i.ID], t.listed[i.ID] = i.Lifetime(), i.Group
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
	t.keepCold(list, now)
}
