package planner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/planner"
)

// engines returns one engine for each letter: o has the old version, n the new
// one, d is draining, u has an unknown state, x has the old version and cannot
// serve requests.
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
		{"o", "e0"},           // the only engine of the model
		{"oo", "e0"},          // one of two engines
		{"od", "e1"},          // repeats the order in progress
		{"oooooooo", "e0 e1"}, // a quarter of the engines
		{"odoooooo", "e0 e1"}, // one change is in progress, one more may start
		{"nnnnonnn", "e4"},    // the last engine with the old version
		{"nn", ""},            // all engines are up to date
		{"ou", ""},            // keeps the only engine that serves
		{"uu", ""},            // the state of the engines is unknown
		{"xo", "e0"},          // an engine that does not serve changes first
		{"ddoooooo", "e0 e1"}, // a quarter is changing already
		{"unnnnnno", "e7"},    // two of eight engines may be out of service
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
