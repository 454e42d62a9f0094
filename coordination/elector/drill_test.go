package elector_test

import (
	"context"
	"log/slog"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/coordination/elector"
	"radishspoke/internal/fake"
	"radishspoke/internal/simulator"
	"radishspoke/platform"
	"radishspoke/transport"
)

// candidate is a process that wants a lease until it stops.
type candidate struct {
	*elector.Elector
	stopped bool
	paused  bool // does not run
}

// drillRig is a store that comes back from older copies, and the candidates for a lease of
// 4 s in it.
type drillRig struct {
	c          *qt.C
	store      *fake.RowStore
	address    string
	clock      simulator.ManualClock
	candidates map[string]*candidate
	epochs     map[int64]string // holder that was seen with an epoch
	highest    int64            // epoch seen so far
	heldAt     map[string]time.Duration
	last       string // holder that was seen last
}

const leaseName = "x"

func newDrillRig(c *qt.C) *drillRig {
	g := &drillRig{c: c, store: fake.NewRowStore(), candidates: map[string]*candidate{}, epochs: map[int64]string{}, heldAt: map[string]time.Duration{}}
	server := httptest.NewServer(g.store)
	c.Cleanup(server.Close)
	g.address, g.clock.At = strings.TrimPrefix(server.URL, "http://"), time.Hour
	return g
}

// start starts a process, in place of an earlier one of that name.
func (g *drillRig) start(name string) {
	p := &candidate{}
	table := platform.NewTable(platform.New(platform.Settings{Store: g.address}, &transport.TCP{}, &g.clock))
	wanted := func() map[string]int {
		if p.stopped {
			return nil
		}
		return map[string]int{leaseName: 0}
	}
	s := elector.Settings{Name: name, Exclusive: true, Duration: 4 * time.Second, Margin: time.Second}
	p.Elector = elector.New(s, table, &g.clock, wanted, slog.New(slog.DiscardHandler))
	g.candidates[name] = p
}

// stop stops a process as planned, which releases its lease.
func (g *drillRig) stop(name string) {
	p := g.candidates[name]
	p.stopped = true
	p.Step(context.Background())
	delete(g.candidates, name)
}

// run runs all processes for a time, and fails if two of them hold the lease, if an epoch has
// a second holder, if a holder has a lower epoch than one before, or if holders take turns
// within turnTime.
func (g *drillRig) run(d time.Duration) {
	const step = 500 * time.Millisecond
	for end := g.clock.At + d; g.clock.At < end; g.clock.At += step {
		for _, name := range slices.Sorted(maps.Keys(g.candidates)) {
			if p := g.candidates[name]; p != nil && !p.paused {
				p.Step(context.Background())
			}
			g.check()
		}
	}
}

func (g *drillRig) check() {
	for name, p := range g.candidates {
		epoch, ok := p.Holds(leaseName)
		if !ok {
			continue
		}
		g.c.Assert(g.holder(), qt.Equals, name)
		first, ok := g.epochs[epoch]
		g.c.Assert(!ok || first == name, qt.IsTrue, qt.Commentf("epoch %d of %s and of %s", epoch, first, name))
		g.c.Assert(epoch >= g.highest, qt.IsTrue, qt.Commentf("epoch %d of %s after epoch %d", epoch, name, g.highest))
		g.epochs[epoch], g.highest = name, epoch
		held, ok := g.heldAt[name]
		g.c.Assert(ok && name != g.last && g.clock.At-held < turnTime, qt.IsFalse, qt.Commentf("%s holds the lease after %s and %v after its last tenure", name, g.last, g.clock.At-held))
		g.heldAt[name], g.last = g.clock.At, name
	}
}

// turnTime is the time within which holders may not use a lease in the order A, B, A.
const turnTime = 3 * time.Second

// holder returns the names of the processes that hold the lease.
func (g *drillRig) holder() string {
	var names []string
	for name, p := range g.candidates {
		if _, ok := p.Holds(leaseName); ok {
			names = append(names, name)
		}
	}
	return strings.Join(names, " and ")
}

// TestLeaseAfterDrill guards against ONE of issue 50: after the store has come back from an older
// copy, an epoch is given out again, or a process acquires a lease that another one still holds.
func TestLeaseAfterDrill(t *testing.T) {
	for name, play := range map[string]func(*drillRig){
		"restart": func(g *drillRig) {
			copied := g.store.Backup()
			g.stop("a")
			g.run(time.Second)
			g.c.Assert(g.holder(), qt.Equals, "b")
			g.start("a")
			g.store.Restore(copied)
		},
		"two hand-overs": func(g *drillRig) {
			copied := g.store.Backup()
			g.stop("a")
			g.run(time.Second)
			g.start("a")
			g.run(time.Second)
			g.stop("b")
			g.run(takeoverTime) // a held the lease shortly before b
			g.c.Assert(g.holder(), qt.Equals, "a")
			g.start("b")
			g.store.Restore(copied)
		},
		"holder killed while the store is away": func(g *drillRig) {
			copied := g.store.Backup()
			g.stop("a")
			g.run(time.Second)
			g.start("a")
			g.store.SetFaults(fake.RowStoreFaults{Status: 503})
			g.run(time.Second)
			g.c.Assert(g.holder(), qt.Equals, "b")
			delete(g.candidates, "b")
			g.store.SetFaults(fake.RowStoreFaults{})
			g.store.Restore(copied)
		},
		"earlier holder was paused": func(g *drillRig) {
			copied := g.store.Backup()
			g.candidates["a"].paused = true
			g.run(7 * time.Second)
			g.c.Assert(g.holder(), qt.Equals, "b")
			g.store.Restore(copied)
			g.candidates["a"].paused = false
		},
		"row that a candidate saw long before": func(g *drillRig) {
			copied := g.store.Backup()
			g.candidates["b"].paused = true
			g.run(4 * time.Second)
			g.store.Restore(copied)
			g.candidates["b"].paused = false
		},
		"row of before any acquisition": func(g *drillRig) {
			g.store.Restore(fake.NewRowStore().Backup())
			g.start("c")
		},
		"released row": func(g *drillRig) {
			g.stop("a")
			copied := g.store.Backup()
			g.run(time.Second)
			g.c.Assert(g.holder(), qt.Equals, "b")
			g.candidates["b"].paused = true
			g.store.Restore(copied)
			g.start("c")
		},
		"several drills": func(g *drillRig) {
			copied := g.store.Backup()
			for range 3 {
				g.stop(g.holder())
				g.run(6 * time.Second)
				g.start("a")
				g.start("c")
				g.store.Restore(copied)
				g.run(3 * time.Second)
				g.store.Restore(copied)
				g.run(9 * time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newDrillRig(qt.New(t))
			g.start("a")
			g.run(time.Second)
			g.start("b")
			g.run(2 * time.Second)
			g.c.Assert(g.holder(), qt.Equals, "a")
			play(g)
			g.run(takeoverTime)
			g.c.Assert(g.holder(), qt.Not(qt.Equals), "")
		})
	}
}

// takeoverTime is the time within which a lease has a holder after a drill: the lease and the
// margin, and a step before and after.
const takeoverTime = 6 * time.Second

// TestHolderKeepsLeaseInDrill checks that a drill alone does not take a lease from its holder,
// although the copy is older than its acquisition.
func TestHolderKeepsLeaseInDrill(t *testing.T) {
	g := newDrillRig(qt.New(t))
	copied := g.store.Backup()
	g.start("a")
	g.run(time.Second)
	g.start("b")
	epoch, ok := g.candidates["a"].Holds(leaseName)
	g.c.Assert(ok, qt.IsTrue)
	for range 3 {
		g.store.Restore(copied)
		g.run(10 * time.Second)
		kept, ok := g.candidates["a"].Holds(leaseName)
		g.c.Assert(ok, qt.IsTrue)
		g.c.Assert(kept, qt.Equals, epoch)
	}
}
