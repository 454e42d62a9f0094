package elector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestartsInTurn guards against ONE of issue 63: while hosts are restarted one after the
// other, processes use a lease in the order A, B, A within its duration.
func TestRestartsInTurn(t *testing.T) {
	const gap = 1500 * time.Millisecond // between two restarts
	for _, hosts := range []int{2, 3, 30} {
		for _, kills := range []string{"none", "all", "half"} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(hosts, " hosts, kills ", kills, ", seed ", seed), func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 0))
					g := newDrillRig(qt.New(t))
					for i := range hosts {
						g.start(hostName(i))
					}
					g.run(time.Second)
					for i := range max(hosts, 12) {
						name := hostName(i % hosts)
						if kills == "none" || kills == "half" && random.IntN(2) == 0 {
							g.stop(name)
						} else {
							delete(g.candidates, name)
						}
						down := time.Duration(random.IntN(3)) * 500 * time.Millisecond
						g.run(down)
						g.start(name)
						g.run(gap - down)
					}
					g.run(takeoverTime)
					g.c.Assert(g.holder(), qt.Not(qt.Equals), "")
				})
			}
		}
	}
}

func hostName(i int) string { return fmt.Sprintf("host-%02d", i) }

// TestOthersNeedNotWait checks that a process that has not held a released lease acquires it at
// once, and so does the last holder, also beside a former holder that waits.
func TestOthersNeedNotWait(t *testing.T) {
	c := qt.New(t)
	g := newDrillRig(c)
	g.start("a")
	g.run(time.Second)
	g.start("b")
	g.stop("a")
	g.run(time.Second)
	c.Assert(g.holder(), qt.Equals, "b")
	g.start("a")
	g.run(time.Second)
	g.stop("b")
	g.start("b")
	g.candidates["a"].paused = true
	g.run(time.Second)
	c.Assert(g.holder(), qt.Equals, "b")
	g.candidates["a"].paused = false
	g.start("c")
	g.stop("b")
	g.run(time.Second)
	c.Assert(g.holder(), qt.Equals, "c")
}
