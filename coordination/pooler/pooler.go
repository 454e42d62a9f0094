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

// Total is what an entry tells the others about a team.
type Total struct {
	Spent float64 // charged by the entry since its start
	Asked float64 // of the entry recently, whether it was charged or refused
	Level float64 // of the team's bucket, as the entry knows it
}

// Settings of a Pooler.
type Settings struct {
	// Interval is the time between two exchanges; 200 ms if zero.
	Interval time.Duration
}

const (
	defaultInterval = 200 * time.Millisecond

	// equalPart is the part of what is left that entries take in equal
	// shares; the rest goes by where a team's requests come.
	equalPart = 0.5

	// memory is the time over which it is measured where requests come.
	memory = 2 * time.Second

	// small is the size, in tokens, up to which a request may take the last
	// part of a team's burst: one long prompt weighs as much as dozens of
	// short requests.
	small = 1000

	// smallPart is that part of the burst.
	smallPart = 0.1

	leastReturn = 100 * time.Millisecond
	mostReturn  = 3 * time.Second
)

func (s *Settings) fill() {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
}

// account is one team's.
type account struct {
	rate, burst float64
	level       float64 // negative while charges are owed
	at          time.Duration
	allowance   float64 // until the next exchange
	spent       float64 // by this entry since its start
	asked       float64 // of this entry, recently
}

// source is one peer's spending, in one lifetime of its process.
type source struct {
	incarnation uint64
	spent       map[string]float64
	asked       map[string]float64
	assumed     map[string]float64 // charged for it since it is silent
}

// Pooler admits requests. Its methods may be called at once from many
// goroutines. Make it with New.
type Pooler struct {
	settings Settings
	clock    radishspoke.Clock
	peers    func() []Peer

	mu        sync.Mutex
	accounts  map[string]*account
	sources   map[string]*source
	exchanged time.Duration
	entries   int
	started   time.Duration
	inherited bool               // a peer's levels were taken at the start
	levels    map[string]mark    // of teams without an account here, as a peer has them
	early     map[string]float64 // charged by others to such teams since
}

// mark is a bucket's level at a moment.
type mark struct {
	level float64
	at    time.Duration
}

// New returns a Pooler. Peers returns the other entries.
func New(s Settings, c radishspoke.Clock, peers func() []Peer) *Pooler {
	s.fill()
	return &Pooler{
		settings: s, clock: c, peers: peers, accounts: map[string]*account{}, sources: map[string]*source{},
		exchanged: c.Now() - s.Interval, entries: 1, started: c.Now(), levels: map[string]mark{}, early: map[string]float64{},
	}
}

// Admit charges tokens to a team. If the team is at its limit it returns
// false, and when there may be room again. A request goes through when there
// is any room, so that one larger than the burst is not refused for ever.
// Requests that are not small leave the last part of the burst to those that
// are.
func (p *Pooler) Admit(t radishspoke.TeamRule, tokens float64) (time.Duration, bool) {
	if t.Rate <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	a := p.account(t)
	a.asked += tokens
	left := a.level
	if tokens > small {
		left -= smallPart * a.burst
	}
	if left <= 0 || a.allowance <= 0 {
		wait := time.Duration(max(0, -left) / t.Rate * float64(time.Second))
		return min(mostReturn, max(leastReturn, wait)), false
	}
	a.level -= tokens
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
		a.level = min(a.burst, a.level+tokens)
		a.allowance += tokens
		a.spent -= tokens
	}
}

// advance refills the buckets, and begins a new interval when it is due.
func (p *Pooler) advance() {
	now := p.clock.Now()
	for _, a := range p.accounts {
		a.level = min(a.burst, a.level+a.rate*(now-a.at).Seconds())
		a.at = now
	}
	passed := now - p.exchanged
	if passed < p.settings.Interval {
		return
	}
	p.exchanged = now
	peers := p.peers()
	p.entries = len(peers) + 1
	kept := max(0, 1-passed.Seconds()/memory.Seconds())
	listed := map[string]bool{}
	for _, k := range peers {
		listed[k.Process] = true
		if s, ok := p.sources[k.Process]; ok && k.Silent {
			p.assume(s, passed)
			for team := range s.asked {
				s.asked[team] *= kept
			}
		}
	}
	for process, s := range p.sources {
		if !listed[process] {
			clear(s.asked) // it has left
		}
	}
	for t, a := range p.accounts {
		a.asked *= kept
		p.allow(t, a)
	}
}

// assume charges teams for a silent peer. One that was never heard is only
// starting.
func (p *Pooler) assume(s *source, passed time.Duration) {
	for team, a := range p.accounts {
		share := a.rate * passed.Seconds() / float64(p.entries)
		a.level -= share
		s.assumed[team] += share
	}
}

// allow sets what may be taken of a team's bucket until the next exchange.
func (p *Pooler) allow(team string, a *account) {
	if p.entries == 1 {
		a.allowance = a.burst
		return
	}
	// Entries that are not heard may be asked as much as those that are, or as
	// this one if none is.
	part := 1 / float64(p.entries)
	others := 0.0
	for _, s := range p.sources {
		others += s.asked[team]
	}
	if n := len(p.sources); n > 0 && others > 0 {
		others *= max(1, float64(p.entries-1)/float64(n))
		part = equalPart*part + (1-equalPart)*a.asked/(a.asked+others)
	}
	// Half of the level is left for what others took in the last interval and
	// have not told yet. What was not taken is kept for one more interval, as
	// requests come unevenly.
	now := (a.level/2 + a.rate*p.settings.Interval.Seconds()) * part
	a.allowance = min(max(0, a.allowance)+now, 2*now)
}

// account returns a team's account with its present limits.
func (p *Pooler) account(t radishspoke.TeamRule) *account {
	a, ok := p.accounts[t.Name]
	if !ok {
		// What was charged before the start is not known, so the bucket was
		// empty then, unless a peer has told more; what was since, the others
		// have told.
		m, ok := p.levels[t.Name]
		if !ok {
			m.at = p.started
		}
		now := p.clock.Now()
		a = &account{at: now, level: m.level + t.Rate*(now-m.at).Seconds() - p.early[t.Name]}
		p.accounts[t.Name] = a
		delete(p.levels, t.Name)
		delete(p.early, t.Name)
	}
	if a.rate != t.Rate || a.burst != t.Burst {
		a.rate, a.burst = t.Rate, t.Burst
		a.level = min(a.level, a.burst)
		p.allow(t.Name, a)
	}
	return a
}

// Totals returns what the other entries are told.
func (p *Pooler) Totals() map[string]Total {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	out := make(map[string]Total, len(p.accounts))
	for n, a := range p.accounts {
		out[n] = Total{Spent: a.spent, Asked: a.asked, Level: a.level}
	}
	return out
}

// Up returns for how long this process has admitted requests.
func (p *Pooler) Up() time.Duration { return p.clock.Now() - p.started }

// Heard takes what a peer that is up for so long says that teams have been
// charged.
func (p *Pooler) Heard(process string, incarnation uint64, totals map[string]Total, up time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	s, known := p.sources[process]
	if !known {
		s = &source{asked: map[string]float64{}, assumed: map[string]float64{}}
		p.sources[process] = s
	}
	if !known || s.incarnation != incarnation {
		s.incarnation, s.spent = incarnation, map[string]float64{}
		if !known && p.earlier(up) {
			p.inherit(s, totals)
		}
	}
	for team, t := range totals {
		news := max(0, t.Spent-s.spent[team])
		s.spent[team], s.asked[team] = t.Spent, t.Asked
		a, ok := p.accounts[team]
		switch {
		case !ok && up > memory: // it has heard what all others charged
			p.levels[team] = mark{t.Level, p.clock.Now()}
			delete(p.early, team)
			continue
		case !ok:
			p.early[team] += news
			continue
		}
		a.level = min(a.burst, a.level-(news-min(s.assumed[team], news)))
	}
	clear(s.assumed)
}

// earlier tells whether a peer that is up for so long was there before this
// process, for long enough to have heard of all others: its levels hold what
// they charged. The levels of peers that started at the same time don't.
func (p *Pooler) earlier(up time.Duration) bool { return up > p.Up()+memory }

// inherit takes the levels of the first such peer. What those peers charged until
// they are heard is in them.
func (p *Pooler) inherit(s *source, totals map[string]Total) {
	for team, t := range totals {
		s.spent[team] = t.Spent
	}
	if p.inherited {
		return
	}
	p.inherited = true
	for team, t := range totals {
		if a, ok := p.accounts[team]; ok {
			a.level = min(a.burst, t.Level-a.spent)
		}
	}
}
