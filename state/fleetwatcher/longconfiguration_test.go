package fleetwatcher_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/state/fleetwatcher"
	"radishspoke/transport/ticker"
)

// longSource is a source with a link on which a configuration takes a while. It records the
// positions from which configurations were read from it.
type longSource struct {
	source
	took time.Duration

	mu    sync.Mutex
	reads []radishspoke.StorePosition
}

func (s *longSource) NextConfiguration(ctx context.Context, after radishspoke.StorePosition, wait time.Duration) (*radishspoke.RoutingTable, radishspoke.StorePosition, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); ticker.Sleep(ctx, 10*time.Millisecond) {
		if t := s.table.Load(); t.Version > after.Version {
			s.mu.Lock()
			s.reads = append(s.reads, after)
			s.mu.Unlock()
			if !ticker.Sleep(ctx, s.took) {
				return nil, after, ctx.Err()
			}
			return t, radishspoke.StorePosition{Version: t.Version}, nil
		}
		if ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
	}
	return nil, after, nil
}

// TestWaitFromPositionOfPeer guards against CONFIG of issue 51: a configuration that a peer has
// brought is read from the store again, over a link on which that takes long.
func TestWaitFromPositionOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		s := &longSource{took: 5 * time.Second}
		s.table.Store(&radishspoke.RoutingTable{Version: 1})
		w := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, nil, discardLog, func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		quick := &source{changed: make(chan struct{}, 1)}
		quick.table.Store(&radishspoke.RoutingTable{Version: 1})
		peer := fleetwatcher.New(fleetwatcher.Settings{}, quick, clock, nil, discardLog, func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		ctx, cancel := context.WithCancel(t.Context())
		go w.RunConfiguration(ctx)
		go peer.RunConfiguration(ctx)
		go w.RunPeers(ctx, &peers{snapshot: peer.Snapshot}, newRandom())
		time.Sleep(time.Second)
		for version := int64(2); version < 6; version++ {
			n := &radishspoke.RoutingTable{Version: version}
			s.table.Store(n)
			quick.table.Store(n)
			quick.changed <- struct{}{}
			time.Sleep(50 * time.Millisecond)
			w.UpdateConfiguration(nil, peer.Table().Version, peer.Proof()) // as a datagram does
			time.Sleep(8 * time.Second)
			c.Check(w.Table().Version, qt.Equals, version)
			c.Check(clock.Now()-w.Proof() < 2*time.Second, qt.IsTrue, qt.Commentf("version %d", version))
		}
		c.Check(s.reads, qt.DeepEquals, []radishspoke.StorePosition{{Version: 1}, {Version: 2}, {Version: 3}, {Version: 4}})
		cancel()
		synctest.Wait()
	})
}

// slowPeers are peers whose replies begin after a round trip and take a while.
type slowPeers struct {
	took time.Duration

	mu    sync.Mutex
	asked []string
}

func (p *slowPeers) PeerStates() []fleetwatcher.PeerState {
	var out []fleetwatcher.PeerState
	for i := range 9 {
		out = append(out, fleetwatcher.PeerState{Process: fmt.Sprint(i), Address: fmt.Sprint(i), Live: true, Configuration: 2})
	}
	return out
}

func (p *slowPeers) FetchSnapshot(ctx context.Context, address string, _ int64, _ uint64, begun func()) (fleetwatcher.Snapshot, error) {
	p.mu.Lock()
	p.asked = append(p.asked, address)
	p.mu.Unlock()
	begun()
	if !ticker.Sleep(ctx, p.took) {
		return fleetwatcher.Snapshot{}, ctx.Err()
	}
	return fleetwatcher.Snapshot{Version: 2, Table: &radishspoke.RoutingTable{Version: 2}}, nil
}

// TestReplyThatTakesLong guards against CONFIG of issue 51: a reply of a peer that arrives
// slowly is cut, or further peers are asked beside it, whose replies slow it down.
func TestReplyThatTakesLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		w := fleetwatcher.New(fleetwatcher.Settings{}, nil, clock, nil, discardLog, func(*radishspoke.RoutingTable) {}, nil)
		p := &slowPeers{took: 6 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		go w.RunPeers(ctx, p, newRandom())
		w.UpdateConfiguration(nil, 2, clock.Now())
		time.Sleep(6500 * time.Millisecond)
		c.Check(w.Table(), qt.IsNotNil)
		c.Check(p.asked, qt.HasLen, 1)
		cancel()
		synctest.Wait()
	})
}
