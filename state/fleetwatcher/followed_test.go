package fleetwatcher_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/simulator"
	"radishspoke/state/fleetwatcher"
	"radishspoke/transport/ticker"
)

// TestListAfterStandstill guards against ORDER of issue 41: a process that stood still takes its
// list for one in which no change was missed, because the first datagram after it confirms it.
func TestListAfterStandstill(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: time.Hour}
	w := fleetwatcher.New(fleetwatcher.Settings{}, nil, clock, nil, discardLog, nil, func([]radishspoke.Instance) {})
	follows := func(since, until time.Duration) {
		gotSince, gotUntil := w.Followed()
		c.Check(gotSince, qt.Equals, since)
		c.Check(gotUntil, qt.Equals, until)
	}
	begun := clock.At
	w.HandleList(instances("a"), nil)
	follows(begun, begun)
	digest, _ := w.Digest()
	for range 10 {
		clock.At += time.Second
		w.CompareDigest(digest, clock.At-100*time.Millisecond, nil)
	}
	confirmed := clock.At - 100*time.Millisecond
	follows(begun, confirmed)
	w.CompareDigest(digest, 0, nil) // a datagram without a time
	w.CompareDigest(digest+1, clock.At, nil)
	follows(begun, confirmed)
	clock.At += 3 * time.Second
	w.CompareDigest(digest, clock.At, nil)
	follows(clock.At, clock.At)
}

// slowSource is a source whose reads of the list end after a time.
type slowSource struct {
	source
	took atomic.Int64
}

// Instances implements fleetwatcher.Source. The list is that of the moment of the call.
func (s *slowSource) Instances(ctx context.Context, onError func(error)) ([]radishspoke.Instance, error) {
	list, err := s.source.Instances(ctx, onError)
	time.Sleep(time.Duration(s.took.Load()))
	return list, err
}

// TestReadDuringStandstill guards against ORDER of issue 41: a list that was read before the
// process stood still counts as one of after it.
func TestReadDuringStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		s := &slowSource{}
		w := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, nil, discardLog, nil, func([]radishspoke.Instance) {})
		s.took.Store(int64(4 * time.Second))
		sent := clock.Now()
		c.Assert(w.ReadInstances(t.Context()), qt.IsNil)
		_, read := w.Digest()
		_, until := w.Followed()
		c.Assert(read, qt.Equals, sent)
		c.Assert(until, qt.Equals, sent)
	})
}

// TestRefresh checks that a refresh reads the list by a call that begins after it, and that
// those who wait at the same time share the reads.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		s := &slowSource{}
		s.took.Store(int64(50 * time.Millisecond))
		w := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, nil, discardLog, nil, func([]radishspoke.Instance) {})
		time.Sleep(time.Second)
		var g sync.WaitGroup
		begun := clock.Now()
		for n := range 100 {
			g.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				called := clock.Now()
				c.Check(w.Refresh(t.Context()), qt.IsNil)
				_, until := w.Followed()
				c.Check(until >= called, qt.IsTrue)
			})
		}
		g.Wait()
		c.Check(s.lists.Load() <= int64((clock.Now()-begun)/(200*time.Millisecond))+1, qt.IsTrue, qt.Commentf("%d reads", s.lists.Load()))
		s.down.Store(true)
		c.Check(w.Refresh(t.Context()), qt.ErrorIs, radishspoke.ErrUnavailable)
		s.down.Store(false)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		c.Check(w.Refresh(ctx), qt.ErrorIs, context.DeadlineExceeded)
		cancel()
		time.Sleep(time.Second)
	})
}

// listSource is a source whose list a test sets.
type listSource struct {
	source
	list atomic.Pointer[[]radishspoke.Instance]
}

// Instances implements fleetwatcher.Source.
func (s *listSource) Instances(context.Context, func(error)) ([]radishspoke.Instance, error) {
	if s.down.Load() {
		return nil, radishspoke.ErrUnavailable
	}
	return *s.list.Load(), nil
}

// TestTargetLeavesAfterOwnOutage guards against DRAIN: a target that leaves just after a process
// was cut off from the platform, while another process was not, is kept for 2 s and longer.
func TestTargetLeavesAfterOwnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		ctx, cancel := context.WithCancel(t.Context())
		both, one := instances("stays", "leaves"), instances("stays")
		s := &listSource{}
		s.list.Store(&both)
		w := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, func() bool { return false }, discardLog,
			func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		peer := fleetwatcher.New(fleetwatcher.Settings{}, nil, clock, nil, discardLog, func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		peer.HandleList(both, nil)
		w.HandleList(both, nil)
		s.down.Store(true)
		go w.RunInstances(ctx)
		go w.RunPeers(ctx, &peers{snapshot: peer.Snapshot}, newRandom())
		for range 5 {
			time.Sleep(700 * time.Millisecond)
			peer.HandleList(both, nil)
		}
		time.Sleep(100 * time.Millisecond)
		peer.HandleList(one, nil)
		s.list.Store(&one)
		s.down.Store(false)
		for range 3 { // datagrams of the peer
			time.Sleep(600 * time.Millisecond)
			digest, read := peer.Digest()
			w.CompareDigest(digest, read, peer.Changes(1100*time.Millisecond))
		}
		c.Check(w.Instances(), qt.DeepEquals, one)
		cancel()
		synctest.Wait()
	})
}
