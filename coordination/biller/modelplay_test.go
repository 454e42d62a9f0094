package biller_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHandOverNeedsNoCall checks that a process that takes over the lease from one that was stopped
// does not report again what that one has reported.
func TestHandOverNeedsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel()
		defer m.close()
		m.start("a")
		m.start("b")
		m.run(30 * time.Second)
		for range 3 {
			m.stop(m.holder(), 2*time.Second, time.Second)
			m.run(12 * time.Second)
		}
		c := qt.New(t)
		c.Assert(m.failure, qt.Equals, "")
		c.Assert(len(m.order) >= 8, qt.IsTrue, qt.Commentf("%v", m.order))
		for i, w := range m.order {
			c.Assert(w, qt.Equals, m.order[0]+int64(i))
		}
	})
}

// drillSeeds is the number of schedules of TestUsageThroughDrills, with seeds from firstDrillSeed on.
var (
	drillSeeds     = flag.Int("drills.seeds", 40, "`NUMBER` of schedules of drills")
	firstDrillSeed = flag.Uint64("drills.first", 1, "first `SEED` of the schedules of drills")
)

// drillSteps is the number of actions in a schedule.
const drillSteps = 40

// TestUsageThroughDrills guards against ONE of issue 50 in any order of drills of the store,
// restarts, kills, pauses and cuts of entries, and lost and late writes: two entries hold the
// lease, a fence falls or has two holders, or a window has two counts; and against ONE of
// issue 63, holders that report in the order A, B, A, or reports that were given up and arrive
// after those of the next holder. The duty is done again after the faults.
func TestUsageThroughDrills(t *testing.T) {
	for i := range *drillSeeds {
		seed := *firstDrillSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			// The time limits of calls do not pass in the bubble while an entry runs.
			synctest.Test(t, func(t *testing.T) {
				m := newModel()
				defer m.close()
				m.play(rand.New(rand.NewPCG(seed, 0)))
				if m.failure != "" {
					t.Fatal(m.failure)
				}
			})
		})
	}
}

// play plays a random schedule until its end or the first violation.
func (m *model) play(random *rand.Rand) {
	all := []string{"a", "b", "c", "d", "e"}[:2+random.IntN(4)]
	for _, n := range all {
		m.start(n)
	}
	upTo := func(most time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(most/modelStep)+1)) * modelStep
	}
	entry := func() *modelEntry {
		if random.IntN(2) == 0 {
			return m.holder()
		}
		return m.entries[all[random.IntN(len(all))]]
	}
	run := func() { m.run(upTo(12 * time.Second)) }
	drill := func() { m.drill(upTo(10*time.Second), upTo(3*time.Second)) }
	actions := []func(){
		run, run, run, drill, drill,
		func() { m.restart(entry(), upTo(2*time.Second)) },
		func() { m.stop(entry(), upTo(3*time.Second), upTo(2*time.Second)) },
		func() { entry().paused = m.now + upTo(9*time.Second) },
		func() { e := entry(); e.cut = !e.cut },
		func() { entry().lose += 1 + random.IntN(3) },
		func() { entry().delay += 1 + random.IntN(6) },
		func() { entry().mute += 1 + random.IntN(3) },
		func() {
			for range random.IntN(9) {
				entry().biller.Begun("t")
			}
		},
		func() {
			before, after, drilled := upTo(4*time.Second), upTo(4*time.Second), random.IntN(2) == 0
			m.meanwhile = func() {
				m.run(before)
				if drilled {
					drill()
				}
				m.run(after)
			}
		},
	}
	for range drillSteps {
		actions[random.IntN(len(actions))]()
		if m.failure != "" {
			return
		}
	}
	m.meanwhile = nil
	for _, e := range m.entries {
		e.cut, e.lose, e.delay, e.mute, e.paused = false, 0, 0, 0, 0
	}
	m.run(modelRecovery)
	at, _ := m.timeOfDay()
	// The newest window that is due has ended 3 s ago, and the steps take another second.
	if due := at.Add(-4*time.Second).UnixNano()/int64(modelWindow) - 1; m.newest < due {
		m.fail("window %d is due, and the newest reported one is %d", due, m.newest)
	}
}
