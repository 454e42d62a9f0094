package simulator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/simulator"
)

// scenario returns the scenario with the given name.
func scenario(name string) simulator.Scenario {
	for _, s := range simulator.Scenarios() {
		if s.Name == name {
			return s
		}
	}
	panic("no scenario named " + name)
}

// TestDeterministic checks that equal seeds give equal results for every policy, in
// a scenario in which an engine fails.
func TestDeterministic(t *testing.T) {
	c := qt.New(t)
	s := scenario("an engine lost")
	s.Length, s.EngineFailure = 30*time.Second, 10*time.Second
	for _, p := range simulator.Policies() {
		a, b := simulator.Run(s, p, 7), simulator.Run(s, p, 7)
		c.Assert(a, qt.Equals, b, qt.Commentf("%s", p.Name))
		c.Assert(a.Offered > 0 && a.OnTime <= a.Offered, qt.IsTrue)
	}
}

// TestNoisyTeamIsolation checks that a team that sends five times its rate does
// not reduce the goodput of the other teams.
func TestNoisyTeamIsolation(t *testing.T) {
	c := qt.New(t)
	r := simulator.Run(scenario("a team at five times"), simulator.Policies()[0], 1)
	c.Assert(r.WorstGoodput >= 0.9, qt.IsTrue, qt.Commentf("%s got %.3f", r.WorstTeam, r.WorstGoodput))
}
