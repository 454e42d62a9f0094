package pooler

import (
	"sync"
	"time"

	"radishspoke"
)

// Peer is another entry that may be charging the same teams.
type Peer struct {
	Process string
	Silent  bool
}

// Total is what a team has been charged.
type Total struct {
	Spent  float64 // by one entry since its start
	Window float64 // by all entries in the newest window
}

// Settings of a Pooler.
type Settings struct {
	// Window is the time over which limits hold; 8 s if zero.
	Window time.Duration

	// Interval is the time between two exchanges; 200 ms if zero.
	Interval time.Duration

	// Share is the part of what is left, in equal shares of the entries,
	// that one entry may take between two exchanges; 1.5 if zero, as callers
	// are spread unevenly.
	Share float64
}

const (
	defaultWindow   = 8 * time.Second
	defaultInterval = 200 * time.Millisecond
	defaultShare    = 1.5

	// small is the size, in tokens, up to which a request may take the last
	// part of a team's limit: one long prompt weighs as much as dozens of
	// short requests.
	small = 1000

	// smallPart is that part of the limit.
	smallPart = 0.02

	// lag is how much longer than the window charges are kept, as the news
	// of a peer's charges comes late.
	lag = 400 * time.Millisecond

	leastReturn = 100 * time.Millisecond
	mostReturn  = 3 * time.Second
)

func (s *Settings) fill() {
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Share == 0 {
		s.Share = defaultShare
	}
}

// account is one team's.
type account struct {
	rate, burst float64
	before      []float64 // assumed charges from before the start, as in charged
	charged     []float64 // by interval, in a ring
	sum         float64   // of charged
	allowance   float64   // until the next exchange
	spent       float64   // by this entry since its start
}

// source is one peer's spending, in one lifetime of its process.
type source struct {
	incarnation uint64
	spent       map[string]float64
	assumed     map[string]float64 // charged for it since it is silent
}

// Pooler admits requests. Its methods may be called at once from many
// goroutines. Make it with New.
type Pooler struct {
	settings Settings
	clock    radishspoke.Clock
	peers    func() []Peer
	slots    int64 // intervals that are kept
	began    int64 // interval of the start

	mu       sync.Mutex
	accounts map[string]*account
	sources  map[string]*source
	interval int64 // the present one
	entries  int
	learnt   bool // what was charged before the start
}

// New returns a Pooler. Peers returns the other entries.
func New(s Settings, c radishspoke.Clock, peers func() []Peer) *Pooler {
	s.fill()
	p := &Pooler{
		settings: s, clock: c, peers: peers, slots: int64((s.Window+lag)/s.Interval) + 1,
		accounts: map[string]*account{}, sources: map[string]*source{}, entries: 1,
	}
	p.began = int64(c.Now() / s.Interval)
	p.interval = p.began
	return p
}

// Admit charges tokens to a team. If the team is at its limit it returns
// false, and when there may be room again. A request goes through when there
// is any room, so that one larger than the burst is not refused for ever.
// Requests that are not small leave the last part of the limit to those that
// are.
func (p *Pooler) Admit(t radishspoke.TeamRule, tokens float64) (time.Duration, bool) {
	if t.Rate <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	a := p.account(t)
	left := a.limit(p.settings.Window) - a.sum
	if tokens > small {
		left -= smallPart * a.limit(p.settings.Window)
	}
	if left <= 0 || a.allowance <= 0 {
		wait := time.Duration(max(0, -left) / t.Rate * float64(time.Second))
		return min(mostReturn, max(leastReturn, wait)), false
	}
	a.charge(p.interval, tokens)
	a.allowance -= tokens
	a.spent += tokens
	return 0, true
}

// Refund takes back the charge for a request that did not run.
func (p *Pooler) Refund(t radishspoke.TeamRule, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if a, ok := p.accounts[t.Name]; ok && t.Rate > 0 {
		a.charge(p.interval, -tokens)
		a.allowance += tokens
		a.spent -= tokens
	}
}

// limit is what a team may be charged in one window.
func (a *account) limit(window time.Duration) float64 { return a.rate*window.Seconds() + a.burst }

func (a *account) charge(interval int64, tokens float64) {
	a.charged[interval%int64(len(a.charged))] += tokens
	a.sum += tokens
}

// advance begins the intervals that are due.
func (p *Pooler) advance() {
	now := int64(p.clock.Now() / p.settings.Interval)
	if now <= p.interval {
		return
	}
	passed := now - p.interval
	first := max(p.interval+1, now-p.slots+1)
	for _, a := range p.accounts {
		for i := first; i <= now; i++ {
			a.sum -= a.charged[i%p.slots] + a.before[i%p.slots]
			a.charged[i%p.slots], a.before[i%p.slots] = 0, 0
		}
	}
	p.interval = now
	peers := p.peers()
	p.entries = len(peers) + 1
	for _, k := range peers {
		if k.Silent {
			p.assume(k.Process, min(passed, p.slots))
		}
	}
	for _, a := range p.accounts {
		p.allow(a)
	}
}

// assume charges teams for a silent peer.
func (p *Pooler) assume(process string, intervals int64) {
	s, ok := p.sources[process]
	if !ok {
		return // it has never been heard: it is only starting
	}
	for team, a := range p.accounts {
		share := a.rate * p.settings.Interval.Seconds() * float64(intervals) / float64(p.entries)
		a.charge(p.interval, share)
		s.assumed[team] += share
	}
}

// allow sets what may be taken until the next exchange.
func (p *Pooler) allow(a *account) {
	part := min(1, p.settings.Share/float64(p.entries))
	a.allowance = (a.limit(p.settings.Window) - a.sum) * part
}

// account returns a team's account with its present limits.
func (p *Pooler) account(t radishspoke.TeamRule) *account {
	a, ok := p.accounts[t.Name]
	if !ok {
		a = &account{charged: make([]float64, p.slots), before: make([]float64, p.slots)}
		p.accounts[t.Name] = a
		if !p.learnt {
			p.charged(a, t.Rate*p.settings.Interval.Seconds())
		}
	}
	if a.rate != t.Rate || a.burst != t.Burst {
		a.rate, a.burst = t.Rate, t.Burst
		p.allow(a)
	}
	return a
}

// charged sets what was charged in each interval before the start.
func (p *Pooler) charged(a *account, each float64) {
	for i := p.interval - p.slots + 1; i < p.began; i++ {
		slot := &a.before[(i+p.slots)%p.slots]
		a.sum += each - *slot
		*slot = each
	}
}

// Totals returns what each team has been charged.
func (p *Pooler) Totals() map[string]Total {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	out := make(map[string]Total, len(p.accounts))
	for n, a := range p.accounts {
		out[n] = Total{Spent: a.spent, Window: a.sum}
	}
	return out
}

// Heard takes what a peer says that teams have been charged.
func (p *Pooler) Heard(process string, incarnation uint64, totals map[string]Total) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.learn(totals)
	s, ok := p.sources[process]
	if !ok {
		s = &source{incarnation: incarnation, spent: map[string]float64{}, assumed: map[string]float64{}}
		p.sources[process] = s
		for team, t := range totals {
			s.spent[team] = t.Spent // known from the window's sum
		}
	}
	if s.incarnation != incarnation {
		s.incarnation, s.spent = incarnation, map[string]float64{}
	}
	for team, t := range totals {
		a, ok := p.accounts[team]
		if !ok {
			continue // counted once the team is known here
		}
		news := t.Spent - s.spent[team]
		if known := min(s.assumed[team], max(0, news)); known > 0 {
			news -= known
		}
		a.charge(p.interval, news)
		s.spent[team] = t.Spent
	}
	clear(s.assumed)
}

// learn takes the sum of the newest window from the first peer that is heard.
func (p *Pooler) learn(totals map[string]Total) {
	if p.learnt || len(totals) == 0 {
		return
	}
	p.learnt = true
	for team, t := range totals {
		a, ok := p.accounts[team]
		if !ok {
			a = &account{charged: make([]float64, p.slots), before: make([]float64, p.slots)}
			p.accounts[team] = a
		}
		p.charged(a, t.Window/float64(p.slots))
	}
}
