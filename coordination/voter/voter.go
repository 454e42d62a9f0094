package voter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/internal/breaker"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// Settings of a Voter.
type Settings struct {
	// Name is that of this entry.
	Name string

	// Rights are the names of what there is to hold.
	Rights []string

	// Lease is how long a grant holds; 4 s if zero.
	Lease time.Duration

	// Margin is taken off the holder's side; it covers clocks that run at
	// different speeds. 500 ms if zero.
	Margin time.Duration

	// Stagger is how much longer than a better-ranked member each one
	// waits before it asks for a right that has lapsed; 1 s if zero.
	Stagger time.Duration
}

const (
	defaultLease   = 4 * time.Second
	defaultMargin  = 500 * time.Millisecond
	defaultStagger = time.Second
	renewals       = 4 // in one lease
)

func (s *Settings) fill() {
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	if s.Margin == 0 {
		s.Margin = defaultMargin
	}
	if s.Stagger == 0 {
		s.Stagger = defaultStagger
	}
}

// Set is the voters that the table service names.
type Set struct {
	Version int64    `json:"-"` // of the row
	Members []string `json:"members"`
}

// Has tells whether a name is among the members.
func (s Set) Has(name string) bool {
	for _, m := range s.Members {
		if m == name {
			return true
		}
	}
	return false
}

// Majority returns the least number of members that is a strict majority.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// Ask puts a question to the entry of that name.
type Ask func(ctx context.Context, entry string, q *wire.Vote) (*wire.VoteReply, error)

// Rank orders members for a right, best first.
type Rank func(right string, members []string) []string

// Voter votes, and holds rights by votes. Make it with New.
type Voter struct {
	settings Settings
	clock    radishspoke.Clock
	ask      Ask
	rank     Rank
	random   *rand.Rand
	log      *slog.Logger

	mu      sync.Mutex
	set     Set
	known   bool // a set, or that there is none, has been read
	abstain time.Duration
	quiet   time.Duration // before which nothing is asked for
	heard   map[string]time.Duration
	grants  map[string]*grant
	held    map[string]*tenure
	yielded map[string]time.Duration // before which a right given up is left alone
	leaving bool
}

// grant is what this voter last granted of one right.
type grant struct {
	holder string
	id     int64
	until  time.Duration
}

// tenure is a right that this process holds, or held.
type tenure struct {
	id    int64
	since time.Duration
	until time.Duration
}

// New returns a Voter that knows no set.
func New(s Settings, c radishspoke.Clock, a Ask, r Rank, random *rand.Rand, log *slog.Logger) *Voter {
	s.fill()
	return &Voter{
		settings: s, clock: c, ask: a, rank: r, random: random, log: log,
		heard: map[string]time.Duration{}, grants: map[string]*grant{}, held: map[string]*tenure{}, yielded: map[string]time.Duration{},
	}
}

// Run renews and asks for rights until ctx ends, then gives them back.
func (v *Voter) Run(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, v.settings.Lease/renewals, func() { v.Step(ctx) })
}

// SetMembers takes the set as just read from the table; the zero Set means
// that there is none yet. A process that finds itself in the first set it
// reads may have voted before it was restarted, so it abstains for a lease.
// One that joins a set later asks for nothing for a lease, as it can't know
// what is held.
func (v *Voter) SetMembers(s Set) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Version < v.set.Version {
		return
	}
	if !v.known && s.Has(v.settings.Name) {
		v.abstain = v.clock.Now() + v.settings.Lease + v.settings.Margin
	}
	if s.Version > firstVersion && s.Has(v.settings.Name) && !v.set.Has(v.settings.Name) {
		v.quiet = v.clock.Now() + v.settings.Lease + v.settings.Margin
	}
	v.known, v.set = true, s
}

// firstVersion is that of the first set there ever is, of one member.
const firstVersion = 1

// Set returns the set in use.
func (v *Voter) Set() Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set
}

// Holds tells whether this process holds a right at this moment, and by which
// tenure.
func (v *Voter) Holds(right string) (id int64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holds(right)
}

func (v *Voter) holds(right string) (int64, bool) {
	t, ok := v.held[right]
	if !ok || v.clock.Now() >= t.until {
		return 0, false
	}
	return t.id, true
}

// Since returns when the present tenure of a right began. Every earlier tenure
// of it, at any process, had ended by then.
func (v *Voter) Since(right string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t, ok := v.held[right]; ok {
		return t.since
	}
	return v.clock.Now()
}

// Held returns the rights that this process holds.
func (v *Voter) Held() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for _, n := range v.settings.Rights {
		if _, ok := v.holds(n); ok {
			out = append(out, n)
		}
	}
	return out
}

// Holder returns the process to which this voter last granted a right, or ""
// if that has lapsed or this is no voter.
func (v *Voter) Holder(right string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	g, ok := v.grants[right]
	if !ok || v.clock.Now() >= g.until {
		return ""
	}
	return g.holder
}

// Handle answers another entry's question.
func (v *Voter) Handle(q *wire.Vote) *wire.VoteReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &wire.VoteReply{SetVersion: v.set.Version, Granted: make([]bool, len(q.Tenures))}
	if !v.known || q.SetVersion != v.set.Version || !v.set.Has(v.settings.Name) || !v.set.Has(q.Process) {
		return r
	}
	now := v.clock.Now()
	for i, t := range q.Tenures {
		r.Granted[i] = v.judge(now, q.Process, t, q.Release)
	}
	return r
}

// judge grants a tenure unless another one's grant still holds.
func (v *Voter) judge(now time.Duration, process string, t *wire.Tenure, release bool) bool {
	g, ok := v.grants[t.Right]
	same := ok && g.holder == process && g.id == t.Id
	if release {
		if same {
			g.until = 0
		}
		return same
	}
	if !breaker.Is(breaker.Votes) && (now < v.abstain || ok && !same && now < g.until) {
		return false
	}
	v.grants[t.Right] = &grant{holder: process, id: t.Id, until: now + v.settings.Lease}
	return true
}
