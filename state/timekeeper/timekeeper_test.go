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
