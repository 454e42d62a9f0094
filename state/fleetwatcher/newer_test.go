package fleetwatcher_test

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/state/fleetwatcher"
	"radishspoke/transport/ticker"
)

// hungSource is a source whose waits for a configuration get no answer: they end when their
// time has passed and waitMargin more, as calls to a store that drops them do.
type hungSource struct{ source }

const waitMargin = 1500 * time.Millisecond

func (s *hungSource) NextConfiguration(ctx context.Context, after radishspoke.StorePosition, wait time.Duration) (*radishspoke.RoutingTable, radishspoke.StorePosition, error) {
	t := time.NewTimer(wait + waitMargin)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-t.C:
		return nil, after, radishspoke.ErrUnavailable
	}
}

// TestNewerVersionOfPeer guards against CONFIG of issue 41: an entry that hears of a newer
// configuration from another one goes on with its own, as its wait for it hangs.
func TestNewerVersionOfPeer(t *testing.T) {
	for _, watch := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			clock := ticker.NewMonotonicClock()
			s := &hungSource{}
			s.table.Store(&radishspoke.RoutingTable{Version: 1})
			w := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, func() bool { return watch }, discardLog,
				func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
			peer := fleetwatcher.New(fleetwatcher.Settings{}, nil, clock, nil, discardLog, func(*radishspoke.RoutingTable) {}, nil)
			ctx, cancel := context.WithCancel(t.Context())
			go w.RunConfiguration(ctx)
			go w.RunPeers(ctx, &peers{snapshot: peer.Snapshot}, newRandom())
			time.Sleep(200 * time.Millisecond)
			w.UpdateConfiguration(nil, 1, clock.Now())
			c.Assert(w.Table().Version, qt.Equals, int64(1))
			peer.UpdateConfiguration(&radishspoke.RoutingTable{Version: 2}, 2, clock.Now())
			w.UpdateConfiguration(nil, 2, clock.Now()) // as each datagram of the peer does
			time.Sleep(time.Second)
			c.Check(w.Table().Version, qt.Equals, int64(2), qt.Commentf("watching: %v", watch))
			c.Check(w.Proof(), qt.Equals, peer.Proof())
			cancel()
			synctest.Wait()
		})
	}
}

// TestVersionsArriveAtOnce guards against CONFIG of issue 41: the older of two versions that
// arrive at one moment by two ways is the last that those who follow the configuration get.
func TestVersionsArriveAtOnce(t *testing.T) {
	var w *fleetwatcher.Watcher
	var followed atomic.Int64
	var g sync.WaitGroup
	w = fleetwatcher.New(fleetwatcher.Settings{}, nil, ticker.NewMonotonicClock(), nil, discardLog, func(t *radishspoke.RoutingTable) {
		if t.Version == 1 {
			g.Go(func() { w.UpdateConfiguration(&radishspoke.RoutingTable{Version: 2}, 2, 0) })
			for n := 0; n < 10_000 && followed.Load() != 2; n++ {
				runtime.Gosched() // until the second version has overtaken the first, if it can
			}
		}
		followed.Store(t.Version)
	}, nil)
	w.UpdateConfiguration(&radishspoke.RoutingTable{Version: 1}, 1, 0)
	g.Wait()
	qt.Assert(t, w.Table().Version, qt.Equals, int64(2))
	qt.Assert(t, followed.Load(), qt.Equals, int64(2))
}

// TestOlderVersionInStore guards against CONFIG of issue 41: the store has come back from an
// older copy, and reading it proves a version that it does not have.
func TestOlderVersionInStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		s := &source{changed: make(chan struct{})}
		s.table.Store(&radishspoke.RoutingTable{Version: 1})
		w := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, nil, discardLog, func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		proof := clock.Now()
		w.UpdateConfiguration(&radishspoke.RoutingTable{Version: 2}, 2, proof)
		ctx, cancel := context.WithCancel(t.Context())
		go w.RunConfiguration(ctx)
		time.Sleep(5 * time.Second)
		c.Check(w.Table().Version, qt.Equals, int64(2))
		c.Check(w.Proof(), qt.Equals, proof)
		s.table.Store(&radishspoke.RoutingTable{Version: 2}) // the operators write it again
		s.changed <- struct{}{}
		time.Sleep(5 * time.Second)
		c.Check(w.Proof() > proof, qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}
