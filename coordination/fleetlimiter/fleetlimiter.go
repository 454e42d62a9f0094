package fleetlimiter

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Total is the report of an entry to the other entries about one team. Amounts
// are in tokens.
type Total struct {
	Charged float64 // charged by the entry since its start
	Demand  float64 // requested recently at the entry, including refused requests
	Level   float64 // level of the bucket of the team, as known to the entry
}

// Settings holds the parameters of a Limiter. A zero value selects the default.
type Settings struct {
	// Interval is the time between two exchanges. The default is 200 ms.
	Interval time.Duration

	// Window is the time over which the limit of a team is defined: in any Window,
	// a team may be charged its rate times Window plus its burst. Overshoot and Slack
	// bound the excess over the limit that is allowed in one Window while the entries
	// don't know what others have charged: a fraction of the limit, and a number of
	// tokens. If Window or both of these are 0, the limit applies to intervals of
	// every length, as that of a token bucket.
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	defaultInterval = 200 * time.Millisecond

	// equalShare is the fraction of a bucket that is divided among the entries in
	// equal shares. The rest is divided in proportion to the demand at each entry.
	equalShare = 0.5

	// demandWindow is the time over which the demand at each entry is measured.
	demandWindow = 2 * time.Second

	// smallRequest is the size, as a fraction of the bucket of a team, up to which a
	// request may use the reserved last part of the bucket.
	smallRequest = 0.01

	// reservedShare is the fraction of the bucket reserved for these requests.
	reservedShare = 0.1

	// restartShare is the fraction of the allowed excess that a bucket may hold.
	// After a restart of all entries, what was charged before is unknown, and up to
	// one bucket more than the limit may be charged in one Window. The rest of the
	// excess is left for charges that are not reported yet.
	restartShare = 0.5

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second

	// waitInterval is the time between two tries to admit a request that waits.
	waitInterval = 20 * time.Millisecond
)

func (s *Settings) setDefaults() {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Overshoot == 0 && s.Slack == 0 {
		s.Window = 0
	}
}

// account holds the bucket of one team. Amounts are in tokens.
type account struct {
	limits      radishspoke.TeamRule // as configured
	rate, burst float64              // of the bucket
	recent      *windowSum           // charges of all entries within Settings.Window; nil if that is 0
	level       float64              // negative if more was charged than the bucket held
	at          time.Duration        // time at which level was computed
	allowance   float64              // amount that may be charged until the next exchange
	share       float64              // share of this entry in the rate
	charged     float64              // by this entry since its start
	demand      float64              // recent demand at this entry
	queue       []*waiter            // requests that wait at this entry, in order
}

// waiter is a request that waits.
type waiter struct{ tokens float64 }

// peerState holds the reports of one peer, from one lifetime of its process, by
// team.
type peerState struct {
	incarnation uint64
	charged     map[string]float64
	demand      map[string]float64
	assumed     map[string]float64 // charged on behalf of the peer since its last report
}

// Limiter admits requests. It is safe for concurrent use. Create it with New.
type Limiter struct {
	settings Settings
	clock    radishspoke.Clock
	peers    func() radishspoke.Peers

	mu           sync.Mutex
	accounts     map[string]*account
	peerStates   map[string]*peerState
	lastExchange time.Duration
	entries      int  // number by which the limits are divided
	known        bool // the other entries are known, and they know this one
	started      time.Duration
	inherited    bool                // levels of a peer were taken over at the start
	peerLevels   map[string]snapshot // levels of teams without an account here, as reported by a peer
	earlyCharges map[string]float64  // charged by others to teams without an account, since the report in peerLevels or since the start
}

// snapshot is the level of a bucket at a point in time.
type snapshot struct {
	level float64
	at    time.Duration
}

// New returns a Limiter. The function peers returns the other entries, which may charge the same
// teams.
func New(s Settings, c radishspoke.Clock, peers func() radishspoke.Peers) *Limiter {
	s.setDefaults()
	return &Limiter{
		settings: s, clock: c, peers: peers, accounts: map[string]*account{}, peerStates: map[string]*peerState{},
		lastExchange: c.Now() - s.Interval, entries: 1, started: c.Now(), peerLevels: map[string]snapshot{}, earlyCharges: map[string]float64{},
	}
}

// Admit charges tokens to a team. If the team is at its limit, it returns false
// and the time after which capacity may be available. A request is admitted if
// there is any capacity at all, so that a request larger than the burst is not
// refused forever. Requests that are not small leave the last part of the burst
// to small ones, and all leave it to those that wait. A team whose rate is 0 is not
// limited.
func (l *Limiter) Admit(t radishspoke.TeamRule, tokens float64) (time.Duration, bool) {
	if t.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	a := l.account(t)
	a.demand += tokens
	left := l.available(a)
	if tokens > smallRequest*a.burst {
		left -= reservedShare * a.burst
	}
	if left <= 0 || a.allowance <= 0 || len(a.queue) > 0 {
		return a.retryAfter(left), false
	}
	a.charge(tokens)
	return 0, true
}

// Wait is like Admit for a request that its caller cannot make later. If the team is
// at its limit, it waits for at most the given time, and not at all if the rate leaves
// no room for the request in that time. It goes before all requests of Admit, and may
// use all of the burst.
func (l *Limiter) Wait(ctx context.Context, t radishspoke.TeamRule, tokens float64, limit time.Duration) (time.Duration, bool) {
	if t.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	a := l.account(t)
	a.demand += tokens
	end := l.clock.Now() + max(0, limit)
	if l.clock.Now()+l.expectedWait(a) > end {
		return a.retryAfter(l.available(a)), false
	}
	w := &waiter{tokens}
	a.queue = append(a.queue, w)
	defer func() { a.queue = slices.DeleteFunc(a.queue, func(o *waiter) bool { return o == w }) }()
	for a.queue[0] != w || l.available(a) <= 0 || a.allowance <= 0 {
		if l.clock.Now()+waitInterval > end || !l.sleep(ctx) {
			return a.retryAfter(l.available(a)), false
		}
		l.advance()
	}
	a.charge(tokens)
	return 0, true
}

// sleep waits for waitInterval, with the lock released. It returns false if ctx has ended.
func (l *Limiter) sleep(ctx context.Context) bool {
	l.mu.Unlock()
	defer l.mu.Lock()
	return ticker.Sleep(ctx, waitInterval)
}

// expectedWait returns the time after which a request is expected to be admitted behind
// those that wait at this entry.
func (l *Limiter) expectedWait(a *account) time.Duration {
	ahead := 0.0
	for _, w := range a.queue {
		ahead += w.tokens
	}
	missing := max((ahead-l.available(a))/a.rate, (ahead-a.allowance)/(a.rate*a.share), 0)
	return time.Duration(missing * float64(time.Second))
}

// charge subtracts tokens from the bucket.
func (a *account) charge(tokens float64) {
	a.level -= tokens
	a.recent.add(tokens)
	a.allowance -= tokens
	a.charged += tokens
}

// retryAfter returns the time in which the rate brings what is missing, if left is the
// number of tokens that are left.
func (a *account) retryAfter(left float64) time.Duration {
	wait := time.Duration(max(0, -left) / a.rate * float64(time.Second))
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// available returns the number of tokens that all entries together may charge to a
// team now.
func (l *Limiter) available(a *account) float64 {
	if a.recent == nil {
		return a.level
	}
	return min(a.level, l.windowLimit(a.limits)-a.recent.sum)
}

// windowLimit returns the number of tokens that a team may be charged in one
// Window.
func (l *Limiter) windowLimit(t radishspoke.TeamRule) float64 {
	return t.Rate*l.settings.Window.Seconds() + t.Burst
}

// bucket returns the rate and the burst of the bucket of a team. If the limit
// applies to a Window, the rate is the one at which a Window fills.
func (l *Limiter) bucket(t radishspoke.TeamRule) (rate, burst float64) {
	if l.settings.Window == 0 {
		return t.Rate, t.Burst
	}
	limit := l.windowLimit(t)
	return limit / l.settings.Window.Seconds(), min(t.Burst, restartShare*(l.settings.Overshoot*limit+l.settings.Slack))
}

// Refund reverses the charge for a request that did not run.
func (l *Limiter) Refund(t radishspoke.TeamRule, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if a, ok := l.accounts[t.Name]; ok && t.Rate > 0 {
		a.recent.remove(tokens)
		a.level = min(a.burst, a.level+tokens)
		a.allowance += tokens
		a.charged -= tokens
	}
}

// advance refills the buckets and starts a new interval when it is due.
func (l *Limiter) advance() {
	now := l.clock.Now()
	for _, a := range l.accounts {
		a.level = min(a.burst, a.level+a.rate*(now-a.at).Seconds())
		a.at = now
		a.recent.advance(now)
	}
	elapsed := now - l.lastExchange
	if elapsed < l.settings.Interval {
		return
	}
	l.lastExchange = now
	peers := l.peers()
	l.entries, l.known = peers.Count(), peers.Known
	decay := max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
	listed := map[string]bool{}
	for _, k := range peers.List {
		listed[k.Process] = true
		if s, ok := l.peerStates[k.Process]; ok && k.Silent {
			l.assumeCharges(s, elapsed)
			for team := range s.demand {
				s.demand[team] *= decay
			}
		}
	}
	for process, s := range l.peerStates {
		if !listed[process] {
			clear(s.demand) // the peer has left
		}
	}
	for t, a := range l.accounts {
		a.demand *= decay
		l.setAllowance(t, a)
	}
}

// assumeCharges charges all teams on behalf of a silent peer. It is not called for
// a peer that has never sent a report, because that peer is assumed to be starting.
func (l *Limiter) assumeCharges(s *peerState, elapsed time.Duration) {
	for team, a := range l.accounts {
		share := a.rate * elapsed.Seconds() / float64(l.entries)
		a.level -= share
		a.recent.add(share)
		s.assumed[team] += share
	}
}

// setAllowance sets the amount that may be taken from the bucket of a team until
// the next exchange.
func (l *Limiter) setAllowance(team string, a *account) {
	switch {
	case !l.known:
		// The others assume that this entry, which they do not hear, charges an equal
		// share of the rate, see assumeCharges.
		a.share = 1 / float64(l.entries)
		amount := a.rate * l.settings.Interval.Seconds() * a.share
		a.allowance = min(a.allowance+amount, 2*amount)
		return
	case l.entries == 1:
		a.allowance, a.share = a.burst, 1
		return
	}
	// Peers that have sent no report are assumed to have the mean demand of those
	// that have. If no demand is reported, all entries take equal shares.
	share := 1 / float64(l.entries)
	others := 0.0
	for _, s := range l.peerStates {
		others += s.demand[team]
	}
	if n := len(l.peerStates); n > 0 && others > 0 {
		others *= max(1, float64(l.entries-1)/float64(n))
		share = equalShare*share + (1-equalShare)*a.demand/(a.demand+others)
	}
	// Half of the level is left for what others have charged in the last interval
	// and not reported yet. Since requests arrive unevenly, an unused allowance
	// is kept for one more interval. What the last request took beyond the
	// allowance is subtracted from the next one: a request may be larger than the
	// share of an entry.
	a.share = share
	amount := (l.available(a)/2 + a.rate*l.settings.Interval.Seconds()) * share
	a.allowance = min(a.allowance+amount, 2*amount)
}

// account returns the account of a team with its current limits.
func (l *Limiter) account(t radishspoke.TeamRule) *account {
	a, ok := l.accounts[t.Name]
	if !ok {
		// What was charged before the start is not known, so the bucket is
		// assumed to have been empty then, unless a peer has reported its level.
		// The others have reported what they charged since.
		m, ok := l.peerLevels[t.Name]
		if !ok {
			m.at = l.started
		}
		now := l.clock.Now()
		rate, _ := l.bucket(t)
		a = &account{at: now, level: m.level + rate*(now-m.at).Seconds() - l.earlyCharges[t.Name]}
		if l.settings.Window > 0 {
			a.recent = newWindowSum(l.settings.Window, now)
		}
		l.accounts[t.Name] = a
		delete(l.peerLevels, t.Name)
		delete(l.earlyCharges, t.Name)
	}
	if a.limits.Rate != t.Rate || a.limits.Burst != t.Burst {
		a.limits = t
		a.rate, a.burst = l.bucket(t)
		a.level = min(a.level, a.burst)
		l.setAllowance(t.Name, a)
	}
	return a
}

// Totals returns the report to the other entries, by team.
func (l *Limiter) Totals() map[string]Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	out := make(map[string]Total, len(l.accounts))
	for n, a := range l.accounts {
		out[n] = Total{Charged: a.charged, Demand: a.demand, Level: a.level}
	}
	return out
}

// Uptime returns the time since this process began to admit requests.
func (l *Limiter) Uptime() time.Duration { return l.clock.Now() - l.started }

// finite reports whether all amounts are numbers with an end.
func (t Total) finite() bool {
	for _, x := range []float64{t.Charged, t.Demand, t.Level} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	return true
}

// MergeReport merges the report of a peer whose process has been admitting
// requests for the time uptime. Totals that are not finite are ignored.
func (l *Limiter) MergeReport(process string, incarnation uint64, totals map[string]Total, uptime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	s, known := l.peerStates[process]
	if !known {
		s = &peerState{demand: map[string]float64{}, assumed: map[string]float64{}}
		l.peerStates[process] = s
	}
	if !known || s.incarnation != incarnation {
		s.incarnation, s.charged = incarnation, map[string]float64{}
		if !known && l.startedEarlier(uptime) {
			l.inherit(s, totals)
		}
	}
	for team, t := range totals {
		if !t.finite() {
			continue
		}
		newCharges := max(0, t.Charged-s.charged[team])
		s.charged[team], s.demand[team] = t.Charged, t.Demand
		a, ok := l.accounts[team]
		switch {
		case !ok && uptime > demandWindow: // the level includes the charges of all others
			l.peerLevels[team] = snapshot{t.Level, l.clock.Now()}
			delete(l.earlyCharges, team)
			continue
		case !ok:
			l.earlyCharges[team] += newCharges
			continue
		}
		unknown := newCharges - min(s.assumed[team], newCharges)
		a.level = min(a.burst, a.level-unknown)
		a.recent.add(unknown)
	}
	clear(s.assumed)
}

// startedEarlier reports whether a peer was running before this process, for
// long enough to have received the reports of all others, so that its levels
// include their charges. This does not hold for peers that started at the same
// time.
func (l *Limiter) startedEarlier(uptime time.Duration) bool { return uptime > l.Uptime()+demandWindow }

// inherit handles the first report of a peer that started earlier. The levels are
// taken over from the first such peer only. They include what all such peers
// charged before their first report, so these charges are not subtracted again.
func (l *Limiter) inherit(s *peerState, totals map[string]Total) {
	for team, t := range totals {
		if t.finite() {
			s.charged[team] = t.Charged
		}
	}
	if l.inherited {
		return
	}
	l.inherited = true
	for team, t := range totals {
		if a, ok := l.accounts[team]; ok && t.finite() {
			a.level = min(a.burst, t.Level-a.charged)
		}
	}
}
