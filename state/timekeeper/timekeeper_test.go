package timekeeper_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
	"radishspoke/internal/simulator"
	"radishspoke/platform"
	"radishspoke/state/timekeeper"
	"radishspoke/transport"
)

// TestSyncZero checks that two processes on hosts with different clocks return the
// same time, derived from the zero that the first process wrote.
func TestSyncZero(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(fake.NewRowStore())
	c.Cleanup(server.Close)
	ctx := context.Background()
	clocks := []*simulator.ManualClock{{At: time.Hour}, {At: 5 * time.Second}}
	var times []time.Time
	for _, clock := range clocks {
		client := platform.New(platform.Settings{Store: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, clock)
		k := timekeeper.New(platform.NewTable(client), clock)
		_, known := k.Now()
		c.Assert(known, qt.IsFalse)
		if len(times) == 0 {
			c.Assert(k.SyncZero(ctx), qt.IsNotNil) // the store's clock has not been read
		}
		// The second reading is ignored, as its error is larger.
		k.Observe(clock.At-20*time.Millisecond, clock.At, 10*time.Second)
		k.Observe(clock.At-2*time.Second, clock.At, time.Minute)
		if err := k.SyncZero(ctx); err != nil {
			c.Assert(k.SyncZero(ctx), qt.IsNil) // reads the row that was written
		}
		now, known := k.Now()
		c.Assert(known, qt.IsTrue)
		times = append(times, now)
	}
	c.Assert(times[0].Equal(times[1]), qt.IsTrue)
}

// TestZeroAfterDrill guards against windows of usage that differ between processes: the store
// loses the zero of its clock in a drill, and a process that starts derives another one.
func TestZeroAfterDrill(t *testing.T) {
	c := qt.New(t)
	ctx := c.Context()
	store := fake.NewRowStore()
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	start := func(storeTime time.Duration) (*timekeeper.Timekeeper, *simulator.ManualClock) {
		clock := &simulator.ManualClock{At: time.Hour}
		client := platform.New(platform.Settings{Store: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, clock)
		k := timekeeper.New(platform.NewTable(client), clock)
		k.Observe(clock.At, clock.At, storeTime)
		return k, clock
	}
	first, _ := start(10 * time.Second)
	c.Assert(first.SyncZero(ctx), qt.IsNotNil)
	c.Assert(first.SyncZero(ctx), qt.IsNil)
	store.Restore(fake.NewRowStore().Backup())
	second, clock := start(20 * time.Second) // whose host's time of day is 10 s early
	for range 3 {
		c.Assert(second.SyncZero(ctx), qt.IsNotNil)
		clock.At += time.Second / 2
	}
	c.Assert(first.SyncZero(ctx), qt.IsNotNil) // writes the row again
	c.Assert(first.SyncZero(ctx), qt.IsNil)
	c.Assert(second.SyncZero(ctx), qt.IsNil)
	a, _ := first.Now()
	b, known := second.Now()
	c.Assert(known, qt.IsTrue)
	c.Assert(b.Sub(a), qt.Equals, 10*time.Second+3*time.Second/2)

	// A process that finds nobody else derives the zero itself.
	store.Restore(fake.NewRowStore().Backup())
	third, clock := start(10 * time.Second)
	for range 10 {
		if third.SyncZero(ctx) == nil {
			return
		}
		clock.At += time.Second / 2
	}
	c.Fatalf("the time of day is not known after 5 s")
}
