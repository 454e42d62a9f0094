package fleetlimiter

import (
	"sync"
	"time"

	"radishspoke"
)

// Peer is another entry that may charge the same teams. Silent is set if it has
// not been heard from recently.
type Peer struct {
	Process string
	Silent  bool
}

// Total is the report of an entry to the other entries about one team. Amounts
// are in tokens.
type Total struct {
	Charged float64 // charged by the entry since its start
	Demand  float64 // recently requested at the entry, whether charged or refused
	Level   float64 // level of the bucket of the team, as known to the entry
}

// Settings holds the parameters of a Pooler. A zero value selects the default.
type Settings struct {
	// Interval is the time between two exchanges. The default is 200 ms.
	Interval time.Duration
}

const (
	defaultInterval = 200 * time.Millisecond

	// equalShare is the fraction of the remainder that entries take in equal
	// shares. The rest is divided by where the requests of a team arrive.
	equalShare = 0.5

	// demandWindow is the time over which the demand at each entry is measured.
	demandWindow = 2 * time.Second

	// smallRequest is the size, in tokens, up to which a request may take the
	// last part of the burst of a team. One long prompt costs as much as dozens
	// of short requests.
	smallRequest = 1000

	// reservedShare is the fraction of the burst reserved for these requests.
	reservedShare = 0.1

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

func (s *Settings) setDefaults() {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
}

// account holds the bucket of one team. Amounts are in tokens.
type account struct {
	rate, burst float64
	level       float64       // negative while charges are owed
	at          time.Duration // time at which level was computed
	allowance   float64       // that may be charged until the next exchange
	charged     float64       // by this entry since its start
	demand      float64       // recent demand at this entry
}

// peerState holds the reports of one peer, from one lifetime of its process, by
// team.
type peerState struct {
	incarnation uint64
	charged     map[string]float64
	demand      map[string]float64
	assumed     map[string]float64 // charged on behalf of the peer since it is silent
}

// Limiter admits requests. It is safe for concurrent use. Create it with New.
type Limiter struct {
	settings Settings
	clock    radishspoke.Clock
	peers    func() []Peer

	mu           sync.Mutex
	accounts     map[string]*account
	peerStates   map[string]*peerState
	lastExchange time.Duration
	entries      int
	started      time.Duration
	inherited    bool                // levels of a peer were taken over at the start
	peerLevels   map[string]snapshot // of teams without an account here, as reported by a peer
	earlyCharges map[string]float64  // charged by others to such teams since then, or since the start
}

// snapshot is the level of a bucket at a point in time.
type snapshot struct {
	level float64
	at    time.Duration
}

// New returns a Pooler. The function peers returns the other entries.
func New(s Settings, c radishspoke.Clock, peers func() []Peer) *Limiter {
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
// to small ones.
func (p *Limiter) Admit(t radishspoke.TeamRule, tokens float64) (time.Duration, bool) {
	if t.Rate <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	a := p.account(t)
	a.demand += tokens
	left := a.level
	if tokens > smallRequest {
		left -= reservedShare * a.burst
	}
	if left <= 0 || a.allowance <= 0 {
		wait := time.Duration(max(0, -left) / t.Rate * float64(time.Second))
		return min(maxRetryAfter, max(minRetryAfter, wait)), false
	}
	a.level -= tokens
	a.allowance -= tokens
	a.charged += tokens
	return 0, true
}

// Refund reverses the charge for a request that did not run.
func (p *Limiter) Refund(t radishspoke.TeamRule, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if a, ok := p.accounts[t.Name]; ok && t.Rate > 0 {
		a.level = min(a.burst, a.level+tokens)
		a.allowance += tokens
		a.charged -= tokens
	}
}

// advance refills the buckets and starts a new interval when it is due.
func (p *Limiter) advance() {
	now := p.clock.Now()
	for _, a := range p.accounts {
		a.level = min(a.burst, a.level+a.rate*(now-a.at).Seconds())
		a.at = now
	}
	elapsed := now - p.lastExchange
	if elapsed < p.settings.Interval {
		return
	}
	p.lastExchange = now
	peers := p.peers()
	p.entries = len(peers) + 1
	decay := max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
	listed := map[string]bool{}
	for _, k := range peers {
		listed[k.Process] = true
		if s, ok := p.peerStates[k.Process]; ok && k.Silent {
			p.assumeCharges(s, elapsed)
			for team := range s.demand {
				s.demand[team] *= decay
			}
		}
	}
	for process, s := range p.peerStates {
		if !listed[process] {
			clear(s.demand) // the peer has left
		}
	}
	for t, a := range p.accounts {
		a.demand *= decay
		p.setAllowance(t, a)
	}
}

// assumeCharges charges all teams on behalf of a silent peer. A peer that was
// never heard from is only starting and is not charged for.
func (p *Limiter) assumeCharges(s *peerState, elapsed time.Duration) {
	for team, a := range p.accounts {
		share := a.rate * elapsed.Seconds() / float64(p.entries)
		a.level -= share
		s.assumed[team] += share
	}
}

// setAllowance sets the amount that may be taken from the bucket of a team until
// the next exchange.
func (p *Limiter) setAllowance(team string, a *account) {
	if p.entries == 1 {
		a.allowance = a.burst
		return
	}
	// Peers that have not been heard from are assumed to have the mean demand of
	// those that have. Without any report, entries take equal shares.
	share := 1 / float64(p.entries)
	others := 0.0
	for _, s := range p.peerStates {
		others += s.demand[team]
	}
	if n := len(p.peerStates); n > 0 && others > 0 {
		others *= max(1, float64(p.entries-1)/float64(n))
		share = equalShare*share + (1-equalShare)*a.demand/(a.demand+others)
	}
	// Half of the level is left for what others took in the last interval and
	// have not reported yet. Since requests arrive unevenly, an unused allowance
	// is kept for one more interval.
	amount := (a.level/2 + a.rate*p.settings.Interval.Seconds()) * share
	a.allowance = min(max(0, a.allowance)+amount, 2*amount)
}

// account returns the account of a team with its current limits.
func (p *Limiter) account(t radishspoke.TeamRule) *account {
	a, ok := p.accounts[t.Name]
	if !ok {
		// What was charged before the start is not known, so the bucket is
		// assumed to have been empty then, unless a peer has reported its level.
		// What was charged since then has been reported by the others.
		m, ok := p.peerLevels[t.Name]
		if !ok {
			m.at = p.started
		}
		now := p.clock.Now()
		a = &account{at: now, level: m.level + t.Rate*(now-m.at).Seconds() - p.earlyCharges[t.Name]}
		p.accounts[t.Name] = a
		delete(p.peerLevels, t.Name)
		delete(p.earlyCharges, t.Name)
	}
	if a.rate != t.Rate || a.burst != t.Burst {
		a.rate, a.burst = t.Rate, t.Burst
		a.level = min(a.level, a.burst)
		p.setAllowance(t.Name, a)
	}
	return a
}

// Totals returns the report to the other entries, by team.
func (p *Limiter) Totals() map[string]Total {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	out := make(map[string]Total, len(p.accounts))
	for n, a := range p.accounts {
		out[n] = Total{Charged: a.charged, Demand: a.demand, Level: a.level}
	}
	return out
}

// Uptime returns the time since this process began to admit requests.
func (p *Limiter) Uptime() time.Duration { return p.clock.Now() - p.started }

// MergeReport merges the report of a peer whose process has been admitting
// requests for the time uptime.
func (p *Limiter) MergeReport(process string, incarnation uint64, totals map[string]Total, uptime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	s, known := p.peerStates[process]
	if !known {
		s = &peerState{demand: map[string]float64{}, assumed: map[string]float64{}}
		p.peerStates[process] = s
	}
	if !known || s.incarnation != incarnation {
		s.incarnation, s.charged = incarnation, map[string]float64{}
		if !known && p.startedEarlier(uptime) {
			p.inherit(s, totals)
		}
	}
	for team, t := range totals {
		newCharges := max(0, t.Charged-s.charged[team])
		s.charged[team], s.demand[team] = t.Charged, t.Demand
		a, ok := p.accounts[team]
		switch {
		case !ok && uptime > demandWindow: // the peer has received the charges of all others
			p.peerLevels[team] = snapshot{t.Level, p.clock.Now()}
			delete(p.earlyCharges, team)
			continue
		case !ok:
			p.earlyCharges[team] += newCharges
			continue
		}
		a.level = min(a.burst, a.level-(newCharges-min(s.assumed[team], newCharges)))
	}
	clear(s.assumed)
}

// startedEarlier reports whether a peer was running before this process, for
// long enough to have received the reports of all others, so that its levels
// include their charges. This does not hold for peers that started at the same
// time.
func (p *Limiter) startedEarlier(uptime time.Duration) bool { return uptime > p.Uptime()+demandWindow }

// inherit takes over the levels of the first peer that started earlier. The
// levels include what such peers charged until their first report, so these
// charges are not subtracted again.
func (p *Limiter) inherit(s *peerState, totals map[string]Total) {
	for team, t := range totals {
		s.charged[team] = t.Charged
	}
	if p.inherited {
		return
	}
	p.inherited = true
	for team, t := range totals {
		if a, ok := p.accounts[team]; ok {
			a.level = min(a.burst, t.Level-a.charged)
		}
	}
}
