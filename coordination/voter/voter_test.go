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

var errCut = errors.New("cut off")

// fleet is a number of voters on one clock, with links that can fail, and the
// set of voters as stored in the table.
type fleet struct {
	now     time.Duration
	voters  map[string]*voter.Voter
	cut     map[[2]string]bool // failed links, by sender and receiver
	offline map[string]bool    // voters that cannot read the table
	set     voter.Set
	random  *rand.Rand
}

func (f *fleet) Now() time.Duration { return f.now }

func rank(right string, members []string) []string {
	out := append([]string(nil), members...)
	sort.Strings(out)
	if len(out) > 0 && right == "odd" {
		out = append(out[1:], out[0])
	}
	return out
}

// start creates a voter without state, as after the start of a process.
func (f *fleet) start(name string) {
	request := func(_ context.Context, to string, q *wire.Vote) (*wire.VoteReply, error) {
		v, ok := f.voters[to]
		if !ok || f.cut[[2]string{name, to}] {
			return nil, errCut
		}
		r := v.Handle(q)
		if f.cut[[2]string{to, name}] {
			return nil, errCut // the voter has voted, but its reply is lost
		}
		return r, nil
	}
	s := voter.Settings{Name: name, Rights: []string{"even", "odd"}}
	f.voters[name] = voter.New(s, f, request, rank, f.random, slog.New(slog.DiscardHandler))
	f.read(name)
}

// read passes the stored set to a voter, unless the voter is offline.
func (f *fleet) read(name string) {
	if v, ok := f.voters[name]; ok && !f.offline[name] {
		v.SetMembers(f.set)
	}
}

// changeSet changes the set as the entry that maintains it would.
func (f *fleet) changeSet(live []string) {
	versions := map[string]int64{}
	for n, v := range f.voters {
		versions[n] = v.Set().Version
	}
	if next, ok := voter.NextSet(f.set, live, versions); ok {
		next.Version = f.set.Version + 1
		f.set = next
	}
}

func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { checkOneHolder(r, r) })
}

// checkOneHolder runs a random schedule of link failures, restarts, changes of
// the set and delays. It fails if a right has two holders at the same time.
func checkOneHolder(t rapid.TB, r *rapid.T) {
	names := []string{"a", "b", "c", "d", "e"}
	f := &fleet{
		now: time.Hour, voters: map[string]*voter.Voter{}, cut: map[[2]string]bool{}, offline: map[string]bool{},
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0)),
	}
	for _, n := range names[:3] {
		f.start(n)
	}
	name := rapid.SampledFrom(names)
	r.Repeat(map[string]func(*rapid.T){
		"step": func(r *rapid.T) {
			if v, ok := f.voters[name.Draw(r, "name")]; ok {
				v.Step(context.Background())
			}
		},
		"step all": func(*rapid.T) {
			for _, n := range names {
				if v, ok := f.voters[n]; ok {
					f.read(n)
					v.Step(context.Background())
				}
			}
		},
		"wait": func(r *rapid.T) {
			f.now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
		},
		"cut": func(r *rapid.T) {
			f.cut[[2]string{name.Draw(r, "from"), name.Draw(r, "to")}] = true
		},
		"heal":    func(*rapid.T) { f.cut = map[[2]string]bool{}; f.offline = map[string]bool{} },
		"offline": func(r *rapid.T) { f.offline[name.Draw(r, "name")] = true },
		"restart": func(r *rapid.T) { f.start(name.Draw(r, "name")) },
		"kill":    func(r *rapid.T) { delete(f.voters, name.Draw(r, "name")) },
		"read":    func(r *rapid.T) { f.read(name.Draw(r, "name")) },
		"keep": func(*rapid.T) {
			var live []string
			for _, n := range names {
				if _, ok := f.voters[n]; ok {
					live = append(live, n)
				}
			}
			f.changeSet(live)
		},
		"": func(*rapid.T) {
			for _, right := range []string{"even", "odd"} {
				holders := 0
				for _, v := range f.voters {
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
	f := &fleet{
		now: time.Hour, voters: map[string]*voter.Voter{}, cut: map[[2]string]bool{}, offline: map[string]bool{},
		random: rand.New(rand.NewPCG(1, 0)),
	}
	f.set = voter.Set{Version: 1, Members: []string{"a", "b", "c"}}
	for _, n := range []string{"a", "b", "c"} {
		f.start(n)
	}
	stepFor := func(d time.Duration) {
		for end := f.now + d; f.now < end; f.now += time.Second {
			for _, n := range []string{"a", "b", "c"} {
				if v, ok := f.voters[n]; ok {
					v.Step(context.Background())
				}
			}
		}
	}
	stepFor(30 * time.Second)
	_, ok := f.voters["a"].Holds("even")
	c.Assert(ok, qt.IsTrue)
	delete(f.voters, "a")
	f.offline = map[string]bool{"b": true, "c": true}
	killed := f.now
	for f.now < killed+time.Minute {
		stepFor(time.Second)
		_, b := f.voters["b"].Holds("even")
		_, c := f.voters["c"].Holds("even")
		if b || c {
			break
		}
	}
	c.Logf("right had no holder for %v", f.now-killed)
	c.Assert(f.now-killed <= 7*time.Second, qt.IsTrue)
}

// TestSpreadOfRights lets one voter acquire every right before a second voter
// joins. It checks that the rights are shared evenly after 30 steps, and that
// none changes its holder afterwards.
func TestSpreadOfRights(t *testing.T) {
	c := qt.New(t)
	f := &fleet{
		now: time.Hour, voters: map[string]*voter.Voter{}, cut: map[[2]string]bool{}, offline: map[string]bool{},
		random: rand.New(rand.NewPCG(1, 0)),
	}
	f.set = voter.Set{Version: 1, Members: []string{"a"}}
	f.start("a")
	step := func(n int) (moves int) {
		for range n {
			f.now += time.Second
			for _, name := range []string{"a", "b"} {
				v, ok := f.voters[name]
				if !ok {
					continue
				}
				before := len(v.Held())
				f.read(name)
				v.Step(context.Background())
				if len(v.Held()) != before {
					moves++
				}
			}
		}
		return moves
	}
	step(5)
	c.Assert(f.voters["a"].Held(), qt.HasLen, 2)
	f.start("b")
	f.set = voter.Set{Version: 2, Members: []string{"a", "b"}}
	step(30)
	c.Assert(f.voters["a"].Held(), qt.DeepEquals, []string{"even"})
	c.Assert(f.voters["b"].Held(), qt.DeepEquals, []string{"odd"})
	c.Assert(step(60), qt.Equals, 0)
}
