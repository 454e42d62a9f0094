package planner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/planner"
)

// engines makes one engine for each letter: o is old, n new, d draining, u
// unknown, x unreachable for requests.
func engines(states string) []planner.Engine {
	var out []planner.Engine
	for i, s := range states {
		e := planner.Engine{
			Target: radishspoke.Target{Name: fmt.Sprintf("e%d", i), Model: "m", Role: radishspoke.BothRole},
			Load:   radishspoke.Load{Model: "m", Version: "1", Role: radishspoke.BothRole},
			Usable: s != 'x',
		}
		switch s {
		case 'n':
			e.Load.Version = "2"
		case 'd':
			e.Load.Draining = true
		case 'u':
			e.Load = radishspoke.Load{}
		}
		out = append(out, e)
	}
	return out
}

func TestPlan(t *testing.T) {
	cases := []struct{ states, want string }{
		{"o", "e0"},           // the only one
		{"oo", "e0"},          // one of two
		{"od", "e1"},          // one is under way: said again
		{"oooooooo", "e0 e1"}, // a quarter
		{"odoooooo", "e0 e1"}, // one more beside the one under way
		{"nnnnonnn", "e4"},    // the last old one
		{"nn", ""},            // all done
		{"ou", ""},            // never the only one that serves
		{"uu", ""},            // nothing is known
		{"xo", "e0"},          // one that does not serve goes first
		{"ddoooooo", "e0 e1"}, // a quarter is under way
		{"unnnnnno", "e7"},    // two of eight may be out
	}
	v := &radishspoke.Inventory{Models: []radishspoke.Model{{Name: "m", Version: "2"}}}
	for _, k := range cases {
		t.Run(k.states, func(t *testing.T) {
			c := qt.New(t)
			got := ""
			for i, e := range planner.Plan(v, 7, 3, engines(k.states)) {
				if i > 0 {
					got += " "
				}
				got += e.Target.Name
				c.Assert(e.Order, qt.DeepEquals, radishspoke.Order{Epoch: 3, Sequence: 7, Role: radishspoke.BothRole, Model: "m", Version: "2"})
			}
			c.Assert(got, qt.Equals, k.want)
		})
	}
}
