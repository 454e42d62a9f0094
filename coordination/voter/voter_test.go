package voter_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"radishspoke/coordination/voter"
	"radishspoke/protocol/wire"
)

var errLinkFailed = errors.New("link failed")

// cluster holds voters on one clock, the links between them, which can fail, and
// the set of voters as stored in the table.
type cluster struct {
	now     time.Duration
	voters  map[string]*voter.Voter
	failed  map[[2]string]bool // failed links, by sender and receiver
	offline map[string]bool    // voters that cannot read the table
	set     voter.Set
	random  *rand.Rand
}

func (cl *cluster) Now() time.Duration { return cl.now }

func rank(right string, members []string) []string {
	out := append([]string(nil), members...)
	sort.Strings(out)
	if len(out) > 0 && right == "odd" {
		out = append(out[1:], out[0])
	}
	return out
}

// start creates a voter without state, as a process does when it starts.
func (cl *cluster) start(name string) {
	request := func(_ context.Context, to string, q *wire.Vote) (*wire.VoteReply, error) {
		v, ok := cl.voters[to]
		if !ok || cl.failed[[2]string{name, to}] {
			return nil, errLinkFailed
		}
		r := v.Handle(q)
		if cl.failed[[2]string{to, name}] {
			return nil, errLinkFailed // the voter has voted, but its reply is lost
		}
		return r, nil
	}
	s := voter.Settings{Name: name, Rights: []string{"even", "odd"}}
	cl.voters[name] = voter.New(s, cl, request, rank, cl.random, slog.New(slog.DiscardHandler))
	cl.read(name)
}

// read passes the stored set to a voter, unless the voter is offline.
func (cl *cluster) read(name string) {
	if v, ok := cl.voters[name]; ok && !cl.offline[name] {
		v.SetMembers(cl.set)
	}
}

// changeSet changes the stored set in the way of the entry that maintains it.
func (cl *cluster) changeSet(live []string) {
	versions := map[string]int64{}
	for n, v := range cl.voters {
		versions[n] = v.Set().Version
	}
	if next, ok := voter.NextSet(cl.set, live, versions); ok {
		next.Version = cl.set.Version + 1
		cl.set = next
	}
}

func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { checkOneHolder(r, r) })
}

// checkOneHolder runs a random schedule of link failures, restarts, changes of
// the set and delays. It fails if a right has two holders at the same time.
func checkOneHolder(t rapid.TB, r *rapid.T) {
	names := []string{"a", "b", "c", "d", "e"}
	cl := &cluster{
		now: time.Hour, voters: map[string]*voter.Voter{}, failed: map[[2]string]bool{}, offline: map[string]bool{},
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)),
	}
	for _, n := range names[:3] {
		cl.start(n)
	}
	name := rapid.SampledFrom(names)
	r.Repeat(map[string]func(*rapid.T){
		"step": func(r *rapid.T) {
			if v, ok := cl.voters[name.Draw(r, "name")]; ok {
				v.Step(context.Background())
			}
		},
		"step all": func(*rapid.T) {
			for _, n := range names {
				if v, ok := cl.voters[n]; ok {
					cl.read(n)
					v.Step(context.Background())
				}
			}
		},
		"wait": func(r *rapid.T) {
			cl.now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
		},
		"cut": func(r *rapid.T) {
			cl.failed[[2]string{name.Draw(r, "from"), name.Draw(r, "to")}] = true
		},
		"heal":    func(*rapid.T) { cl.failed = map[[2]string]bool{}; cl.offline = map[string]bool{} },
		"offline": func(r *rapid.T) { cl.offline[name.Draw(r, "name")] = true },
		"restart": func(r *rapid.T) { cl.start(name.Draw(r, "name")) },
		"kill":    func(r *rapid.T) { delete(cl.voters, name.Draw(r, "name")) },
		"read":    func(r *rapid.T) { cl.read(name.Draw(r, "name")) },
		"keep": func(*rapid.T) {
			var live []string
			for _, n := range names {
				if _, ok := cl.voters[n]; ok {
					live = append(live, n)
				}
			}
			cl.changeSet(live)
		},
		"": func(*rapid.T) {
			for _, right := range []string{"even", "odd"} {
				holders := 0
				for _, v := range cl.voters {
					if _, ok := v.Holds(right); ok {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("right %s has %d holders", right, holders)
				}
			}
		},
	})
}

// TestHandOver kills the holder of a right while the table is unreachable, and
// checks that the right has a new holder within 7 s.
func TestHandOver(t *testing.T) {
	c := qt.New(t)
	cl := &cluster{
		now: time.Hour, voters: map[string]*voter.Voter{}, failed: map[[2]string]bool{}, offline: map[string]bool{},
		random: rand.New(rand.NewPCG(1, 0)),
	}
	cl.set = voter.Set{Version: 1, Members: []string{"a", "b", "c"}}
	for _, n := range []string{"a", "b", "c"} {
		cl.start(n)
	}
	stepFor := func(d time.Duration) {
		for end := cl.now + d; cl.now < end; cl.now += time.Second {
			for _, n := range []string{"a", "b", "c"} {
				if v, ok := cl.voters[n]; ok {
					v.Step(context.Background())
				}
			}
		}
	}
	stepFor(30 * time.Second)
	_, ok := cl.voters["a"].Holds("even")
	c.Assert(ok, qt.IsTrue)
	delete(cl.voters, "a")
	cl.offline = map[string]bool{"b": true, "c": true}
	killed := cl.now
	for cl.now < killed+time.Minute {
		stepFor(time.Second)
		_, b := cl.voters["b"].Holds("even")
		_, c := cl.voters["c"].Holds("even")
		if b || c {
			break
		}
	}
	c.Logf("right had no holder for %v", cl.now-killed)
	c.Assert(cl.now-killed <= 7*time.Second, qt.IsTrue)
}

// TestSpreadOfRights lets one voter acquire every right before a second voter
// joins. It checks that the rights are shared evenly after 30 steps, and that
// none changes its holder afterwards.
func TestSpreadOfRights(t *testing.T) {
	c := qt.New(t)
	cl := &cluster{
		now: time.Hour, voters: map[string]*voter.Voter{}, failed: map[[2]string]bool{}, offline: map[string]bool{},
		random: rand.New(rand.NewPCG(1, 0)),
	}
	cl.set = voter.Set{Version: 1, Members: []string{"a"}}
	cl.start("a")
	step := func(n int) (moves int) {
		for range n {
			cl.now += time.Second
			for _, name := range []string{"a", "b"} {
				v, ok := cl.voters[name]
				if !ok {
					continue
				}
				before := len(v.Held())
				cl.read(name)
				v.Step(context.Background())
				if len(v.Held()) != before {
					moves++
				}
			}
		}
		return moves
	}
	step(5)
	c.Assert(cl.voters["a"].Held(), qt.HasLen, 2)
	cl.start("b")
	cl.set = voter.Set{Version: 2, Members: []string{"a", "b"}}
	step(30)
	c.Assert(cl.voters["a"].Held(), qt.DeepEquals, []string{"even"})
	c.Assert(cl.voters["b"].Held(), qt.DeepEquals, []string{"odd"})
	c.Assert(step(60), qt.Equals, 0)
}
