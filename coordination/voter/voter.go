package voter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/internal/disabler"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// Settings holds the settings of a Voter.
type Settings struct {
	// Name is the name of this entry.
	Name string

	// Rights are the names of the rights that processes can hold.
	Rights []string

	// Lease is the time for which a grant is valid; 4 s if zero.
	Lease time.Duration

	// Margin is subtracted from the lease by the holder, to allow for clocks
	// that run at different rates; 500 ms if zero.
	Margin time.Duration

	// Stagger is the delay before a member requests a right whose grant has
	// expired, for each member that ranks better; 1 s if zero.
	Stagger time.Duration
}

const (
	defaultLease   = 4 * time.Second
	defaultMargin  = 500 * time.Millisecond
	defaultStagger = time.Second
	renewals       = 4 // per lease
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

// Set is the set of voters as listed in the table service.
type Set struct {
	Version int64    `json:"-"` // version of the table row
	Members []string `json:"members"`
}

// Has returns whether name is among the members.
func (s Set) Has(name string) bool {
	for _, m := range s.Members {
		if m == name {
			return true
		}
	}
	return false
}

// Majority returns the number of members in the smallest strict majority.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// RequestFunc sends a vote request to the entry with the given name and returns
// the reply.
type RequestFunc func(ctx context.Context, entry string, q *wire.Vote) (*wire.VoteReply, error)

// RankFunc returns the members in order of preference for a right, best first.
type RankFunc func(right string, members []string) []string

// Voter votes on the requests of other entries, and holds the rights that a
// majority grants to this process. Create one with New.
type Voter struct {
	settings Settings
	clock    radishspoke.Clock
	request  RequestFunc
	rank     RankFunc
	random   *rand.Rand
	log      *slog.Logger

	mu           sync.Mutex
	set          Set
	setRead      bool                     // whether the table has been read, even if it had no set
	abstainUntil time.Duration            // before which this voter grants and requests nothing
	requestAfter time.Duration            // before which this process requests no new tenures
	lastReply    map[string]time.Duration // by member
	grants       map[string]*grant        // by right
	held         map[string]*tenure       // by right
	yieldedUntil map[string]time.Duration // by right; before which a yielded right is not requested
	leaving      bool
}

// grant is the last grant of one right by this voter.
type grant struct {
	holder string
	id     int64
	until  time.Duration
}

// tenure is a right that this process holds or has held.
type tenure struct {
	id    int64
	since time.Duration
	until time.Duration
}

// New returns a Voter without a set, which grants and requests nothing until
// SetMembers is called.
func New(s Settings, c radishspoke.Clock, request RequestFunc, rank RankFunc, random *rand.Rand, log *slog.Logger) *Voter {
	s.fill()
	return &Voter{
		settings: s, clock: c, request: request, rank: rank, random: random, log: log,
		lastReply: map[string]time.Duration{}, grants: map[string]*grant{}, held: map[string]*tenure{}, yieldedUntil: map[string]time.Duration{},
	}
}

// Run renews and requests rights until ctx ends. It does not release them; Leave
// does.
func (v *Voter) Run(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, v.settings.Lease/renewals, func() { v.Step(ctx) })
}

// SetMembers sets the set of voters as read from the table. The zero Set means
// that the table holds none yet. A process that is in the first set that it reads
// may have voted before a restart, so it abstains from voting for one lease and
// the margin. A process that joins a set later requests no rights for the same
// time, because it does not know which rights are held.
func (v *Voter) SetMembers(s Set) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Version < v.set.Version {
		return
	}
	if !v.setRead && s.Has(v.settings.Name) {
		v.abstainUntil = v.clock.Now() + v.settings.Lease + v.settings.Margin
	}
	if s.Version > firstVersion && s.Has(v.settings.Name) && !v.set.Has(v.settings.Name) {
		v.requestAfter = v.clock.Now() + v.settings.Lease + v.settings.Margin
	}
	v.setRead, v.set = true, s
}

// firstVersion is the version of the first set, which has one member.
const firstVersion = 1

// Set returns the set in use.
func (v *Voter) Set() Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set
}

// Holds returns whether this process holds a right at this moment, and the ID
// of its tenure.
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

// TenureStart returns the start of this process's last tenure of a right, which
// may have expired, or the present time if none is known. Every earlier tenure of
// the right, at any process, had ended by then.
func (v *Voter) TenureStart(right string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t, ok := v.held[right]; ok {
		return t.since
	}
	return v.clock.Now()
}

// Held returns the names of the rights that this process holds.
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

// Holder returns the process to which this voter last granted a right, or "" if
// the grant has expired or this voter granted none.
func (v *Voter) Holder(right string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	g, ok := v.grants[right]
	if !ok || v.clock.Now() >= g.until {
		return ""
	}
	return g.holder
}

// Handle returns the reply to a vote request. It grants nothing if this voter has
// not read the set, if the request names another version of the set, or if this
// voter or the requesting process is not a member.
func (v *Voter) Handle(q *wire.Vote) *wire.VoteReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &wire.VoteReply{SetVersion: v.set.Version, Granted: make([]bool, len(q.Tenures))}
	if !v.setRead || q.SetVersion != v.set.Version || !v.set.Has(v.settings.Name) || !v.set.Has(q.Process) {
		return r
	}
	now := v.clock.Now()
	for i, t := range q.Tenures {
		r.Granted[i] = v.vote(now, q.Process, t, q.Release)
	}
	return r
}

// vote grants a tenure, unless this voter abstains or its grant of the same right
// to another tenure is still valid. It returns whether it granted the tenure. If
// release is set, vote instead ends the grant of the tenure and returns whether
// there was one.
func (v *Voter) vote(now time.Duration, process string, t *wire.Tenure, release bool) bool {
	g, ok := v.grants[t.Right]
	same := ok && g.holder == process && g.id == t.Id
	if release {
		if same {
			g.until = 0
		}
		return same
	}
	if !disabler.Disabled(disabler.ExclusiveVotes) && (now < v.abstainUntil || ok && !same && now < g.until) {
		return false
	}
	v.grants[t.Right] = &grant{holder: process, id: t.Id, until: now + v.settings.Lease}
	return true
}
