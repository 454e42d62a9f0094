package admitter

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// Settings holds the parameters of an Admitter. A zero value selects the default.
type Settings struct {
	// Interval is the time for which computed fractions are used. The default is 50 ms.
	Interval time.Duration

	// TolerableWait is the mean expected wait for a turn at prefill engines from which on
	// these are short. The default is 40 ms. Where answers that are late are still worth
	// waiting for, a longer one rejects fewer requests that would have been served.
	TolerableWait time.Duration
}

const (
	defaultInterval      = 50 * time.Millisecond
	defaultTolerableWait = 40 * time.Millisecond

	// minRetryAfter and maxRetryAfter bound the time after which rejected callers are asked to
	// retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	// backlogTime is the time over which rejected work is taken to be ahead of a request that
	// is rejected now: the time in which the fractions follow the demand.
	backlogTime = 500 * time.Millisecond

	// maxSpread is the part of maxRetryAfter over which retries are spread that come as late.
	maxSpread = 0.2

	// leastRate is the rate, in requests a second, below which a class is forgotten.
	leastRate = 1e-3
)

// Request is a request that asks to be admitted. Times are those of the clock of the Admitter.
type Request struct {
	ID                  string
	Fingerprint         string // the same for repetitions of a request, whatever their ids
	Group               string
	TeamRank, RouteRank int
	Work                Work

	OnTime   time.Duration // latest time of an answer that meets the objective
	Deadline time.Duration // time after which an answer is useless
	AfterRun time.Duration // expected time from the prefill, or the arrival, to the answer
	Begun    bool          // the stream has begun earlier
}

// Reason tells why a request is rejected.
type Reason string

// The reasons of a rejection.
const (
	Overload    Reason = "overload" // others are worth more for their work
	Unreachable Reason = "late"     // the deadline can't be met
)

// Decision is the answer to a request.
type Decision struct {
	Class      Class
	Fraction   float64 // of the class that is admitted
	Reason     Reason  // empty if the request is admitted
	RetryAfter time.Duration
}

// Supplies provides the supply of targets.
type Supplies interface {
	Supply(group string) Supply
}

// Admitter decides which requests of one process are admitted. It is safe for concurrent use.
// Create it with New.
type Admitter struct {
	settings Settings
	clock    radishspoke.Clock
	supplies Supplies
	peers    func() []string
	inForce  func() bool

	mu       sync.Mutex
	random   *rand.Rand
	groups   map[string]*group
	rejected rejected
	counts   map[Reason]int64
}

// group is the state of one group of targets.
type group struct {
	own           map[Class]*rate
	totals        map[Class]*total
	reports       map[string]received // by process
	prefill, slot shortage

	supply    Supply
	at        time.Duration // of the newest fractions
	known     bool          // there are any
	fractions map[Class]float64
	fresh     map[Class]float64 // the part of the requests that are no retries
	largest   float64           // fraction, relative to the requests that are no retries
	needs     needs
}

// needs tells for lack of which resource requests are rejected.
type needs struct{ prefill, slot bool }

// New returns an Admitter without demand. The function peers returns the other processes that
// are live, and inForce whether the Admitter may reject requests.
func New(s Settings, c radishspoke.Clock, random *rand.Rand, supplies Supplies, peers func() []string, inForce func() bool) *Admitter {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.TolerableWait == 0 {
		s.TolerableWait = defaultTolerableWait
	}
	return &Admitter{
		settings: s, clock: c, supplies: supplies, peers: peers, inForce: inForce, random: random,
		groups: map[string]*group{}, rejected: rejected{list: map[mark]rejection{}}, counts: map[Reason]int64{},
	}
}

// InForce reports whether requests may be rejected.
func (a *Admitter) InForce() bool { return a.inForce() }

// Decide counts a request and tells whether it is admitted.
func (a *Admitter) Decide(r Request) Decision {
	if !a.inForce() {
		return Decision{Fraction: 1}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.ID == "" { // requests without an id must not be decided alike
		r.ID = strconv.FormatUint(a.random.Uint64(), 36)
	}
	now := a.clock.Now()
	g := a.group(r.Group)
	if !g.known {
		a.evaluate(r.Group, g, now)
	}
	m := newMark(r.Group, r.Fingerprint)
	retries := a.rejected.take(m, now)
	class, place := g.class(r), g.place(r, retries, now)
	own, ok := g.own[class]
	if !ok {
		own = &rate{}
		g.own[class] = own
	}
	own.add(now, resources{r.Work.Prefill.Seconds(), r.Work.Slot.Seconds()}, place)
	if _, ok = g.fractions[class]; !ok || now-g.at >= a.settings.Interval {
		a.evaluate(r.Group, g, now)
	}
	d := g.judge(r, retries, now, a.random.Float64())
	switch d.Reason {
	case Overload:
		a.rejected.add(m, retries+1, now, now+d.RetryAfter)
		a.counts[Overload]++
	case Unreachable:
		a.counts[Unreachable]++
	}
	return d
}

// Refused records that an admitted request was refused for another reason, and when its caller
// is asked to come back, so that its retry goes before new requests.
func (a *Admitter) Refused(group, fingerprint string, after time.Duration) {
	if !a.inForce() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.rejected.add(newMark(group, fingerprint), 1, now, now+max(after, minRetryAfter))
}

// Preview returns what Decide would return for a request now. It changes nothing.
func (a *Admitter) Preview(r Request) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.groups[r.Group]
	if !ok || !a.inForce() {
		return Decision{Fraction: 1}
	}
	now := a.clock.Now()
	return g.judge(r, a.rejected.look(newMark(r.Group, r.Fingerprint), now), now, 0.5)
}

// judge decides about a request that was rejected a number of times, by the newest fractions.
// The number spread, from 0 to 1, tells when a rejected one is asked to come back.
func (g *group) judge(r Request, retries int, now time.Duration, spread float64) Decision {
	class, place := g.class(r), g.place(r, retries, now)
	fraction, ok := g.fractions[class]
	if !ok {
		fraction = 1
		for c, f := range g.fractions { // it would go after these
			if c.compare(class) < 0 {
				fraction = min(fraction, f)
			}
		}
	}
	d := Decision{Class: class, Fraction: fraction}
	if r.Begun || fraction == 1 {
		return d
	}
	if own, ok := g.own[class]; ok {
		d.Fraction = own.fraction(fraction, place)
	}
	switch {
	case g.answer(r, now) > r.Deadline:
		d.Reason = Unreachable
	case draw(r.ID, retries) >= d.Fraction:
		d.Reason = Overload
		d.RetryAfter = retryAfter(fraction, leastShare*g.largest*g.fresh[class], spread)
	}
	return d
}

// answer returns the expected time of the answer to a request.
func (g *group) answer(r Request, now time.Duration) time.Duration {
	return now + g.supply.Least + r.Work.Prefill + r.AfterRun
}

// place returns the place of a request in the order of its class.
func (g *group) place(r Request, retries int, now time.Duration) order {
	switch {
	case g.answer(r, now) > r.OnTime:
		return late
	case retries > 0:
		return retried
	}
	return newcomer
}

// class returns the class of a request.
func (g *group) class(r Request) Class {
	return Class{TeamRank: clampRank(r.TeamRank), RouteRank: clampRank(r.RouteRank), Bucket: r.Work.Bucket(g.supply.PerOne)}
}

// draw returns a number from 0 to 1 that depends only on the request and on how often it was
// rejected.
func draw(id string, retries int) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(id) // never fails
	_, _ = h.Write([]byte{byte(retries)})
	return float64(h.Sum64()>>11) / (1 << 53)
}

// retryAfter returns a time around that in which the work rejected over backlogTime is admitted
// at a fraction. A class that gets no more than its least share is not admitted soon, as the
// least share is that of new requests. The time grows with the number spread, from 0 to 1.
func retryAfter(fraction, least, spread float64) time.Duration {
	mean := float64(maxRetryAfter)
	if fraction > least+roundOff {
		mean = max(2*float64(minRetryAfter), float64(backlogTime)*(1-fraction)/fraction)
	}
	if mean >= float64(maxRetryAfter) {
		return time.Duration(float64(maxRetryAfter) * (1 - maxSpread*spread))
	}
	return time.Duration(min(float64(maxRetryAfter), mean*(0.5+spread)))
}

// group returns the state of a group. The caller holds the lock.
func (a *Admitter) group(name string) *group {
	g, ok := a.groups[name]
	if !ok {
		g = &group{own: map[Class]*rate{}, totals: map[Class]*total{}, reports: map[string]received{}}
		a.groups[name] = g
	}
	return g
}

// Rejected returns the number of rejected requests for a reason.
func (a *Admitter) Rejected(r Reason) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(a.counts[r])
}

// Short returns the names of the groups with a shortage, in order.
func (a *Admitter) Short() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for name, g := range a.groups {
		if (g.prefill.short || g.slot.short) && a.clock.Now()-g.at < maxIdle {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// maxIdle is the time without a request after which a group counts as not short.
const maxIdle = 5 * time.Second

// valid reports whether a figure of another process can be right.
func valid(x, most float64) bool { return !math.IsNaN(x) && x >= 0 && x <= most }
