package fleetwatcher_test

import (
	"context"
	"log/slog"
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

var discardLog = slog.New(slog.DiscardHandler)

// source is a Source that counts its calls and can be made unavailable.
type source struct {
	table   atomic.Pointer[radishspoke.RoutingTable]
	changed chan struct{}
	lists   atomic.Int64
	waits   atomic.Int64
	down    atomic.Bool
}

func (s *source) Configuration(context.Context) (*radishspoke.RoutingTable, int64, error) {
	if s.down.Load() {
		return nil, 0, radishspoke.ErrUnavailable
	}
	t := s.table.Load()
	return t, t.Version, nil
}

func (s *source) NextConfiguration(ctx context.Context, after int64, wait time.Duration) (*radishspoke.RoutingTable, int64, error) {
	s.waits.Add(1)
	if s.down.Load() {
		return nil, after, radishspoke.ErrUnavailable
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-s.changed:
		n := s.table.Load()
		return n, n.Version, nil
	case <-t.C:
		return nil, after, nil
	}
}

func (s *source) Instances(context.Context, func(error)) ([]radishspoke.Instance, error) {
	s.lists.Add(1)
	if s.down.Load() {
		return nil, radishspoke.ErrUnavailable
	}
	return []radishspoke.Instance{{ID: "a"}}, nil
}

func instances(ids ...string) []radishspoke.Instance {
	var out []radishspoke.Instance
	for _, id := range ids {
		out = append(out, radishspoke.Instance{ID: id})
	}
	return out
}

// TestOutage checks which targets are kept while they are missing from the list:
// none without an outage, and after an outage those that were not listed since,
// until MissingGrace has passed.
func TestOutage(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: time.Hour}
	listed := map[string]bool{}
	f := fleetwatcher.New(fleetwatcher.Settings{}, nil, clock, nil, discardLog, nil, func(list []radishspoke.Instance) {
		clear(listed)
		for _, i := range list {
			listed[i.ID] = true
		}
	})
	f.HandleList(instances("stays", "returns", "leaves"), nil)
	// Without an outage a target that is not listed is dropped at once.
	clock.At += time.Second
	f.HandleList(instances("stays", "returns", "leaves", "gone"), nil)
	clock.At += time.Second
	f.HandleList(instances("stays", "returns", "leaves"), nil)
	c.Assert(listed, qt.DeepEquals, map[string]bool{"stays": true, "returns": true, "leaves": true})
	f.HandleList(nil, radishspoke.ErrUnavailable)
	clock.At += 10 * time.Second
	// Just after the outage live targets are missing from the list.
	f.HandleList(instances("leaves"), nil)
	c.Assert(listed, qt.HasLen, 3)
	clock.At += 500 * time.Millisecond
	// A target that was listed after the outage and is missing now has left.
	f.HandleList(instances("stays"), nil)
	c.Assert(listed, qt.DeepEquals, map[string]bool{"stays": true, "returns": true})
	clock.At += 2 * time.Second
	f.HandleList(instances("stays"), nil)
	c.Assert(listed, qt.DeepEquals, map[string]bool{"stays": true})
}

// TestForwardOnly passes old configurations after newer ones, which must change
// neither the configuration nor its proof.
func TestForwardOnly(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: time.Hour}
	var got []int64
	f := fleetwatcher.New(fleetwatcher.Settings{}, nil, clock, nil, discardLog, func(v *radishspoke.RoutingTable) { got = append(got, v.Version) }, nil)
	f.UpdateConfiguration(&radishspoke.RoutingTable{Version: 5}, 5, 10)
	f.UpdateConfiguration(&radishspoke.RoutingTable{Version: 3}, 3, 20)
	f.UpdateConfiguration(nil, 3, 30) // a proof of version 3 is none of version 5
	c.Assert(f.Table().Version, qt.Equals, int64(5))
	c.Assert(f.Proof(), qt.Equals, time.Duration(10))
	f.UpdateConfiguration(nil, 5, 40)
	f.UpdateConfiguration(nil, 5, 35)
	c.Assert(f.Proof(), qt.Equals, time.Duration(40))
	f.UpdateConfiguration(&radishspoke.RoutingTable{Version: 6}, 6, 50)
	c.Assert(got, qt.DeepEquals, []int64{5, 6})
}

// TestWatch makes a process watch the platform during a long wait for a
// configuration. The wait must be aborted and must not count as a proof.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{changed: make(chan struct{})}
		s.table.Store(&radishspoke.RoutingTable{Version: 1})
		var watch atomic.Bool
		clock := ticker.NewMonotonicClock()
		f := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, watch.Load, discardLog, func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.RunConfiguration(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		time.Sleep(3 * time.Second)
		c.Assert(s.waits.Load(), qt.Equals, int64(1))
		proof := f.Proof()
		s.down.Store(true)
		watch.Store(true)
		time.Sleep(time.Second)
		c.Assert(f.Proof(), qt.Equals, proof)
		s.down.Store(false)
		time.Sleep(2 * time.Second)
		// A proof is the start of a wait that was answered, so it is at most two
		// wait timeouts old.
		c.Check(clock.Now()-f.Proof() <= 2*time.Second, qt.IsTrue)
		// A change takes effect at once, also during a long wait.
		watch.Store(false)
		time.Sleep(5 * time.Second)
		s.table.Store(&radishspoke.RoutingTable{Version: 2})
		s.changed <- struct{}{}
		synctest.Wait()
		c.Assert(f.Table().Version, qt.Equals, int64(2))
	})
}

// TestTold checks that a process which does not watch reads the list only when
// another process reports a different and newer digest.
func TestTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{}
		clock := ticker.NewMonotonicClock()
		f := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, func() bool { return false }, discardLog, nil, func([]radishspoke.Instance) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.RunInstances(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		c.Assert(s.lists.Load(), qt.Equals, int64(1))
		digest, read := f.Digest()
		f.CompareDigest(digest, clock.Now()) // same list
		f.CompareDigest(digest+1, read)      // older list
		f.CompareDigest(0, clock.Now())      // no list
		time.Sleep(time.Second)
		c.Assert(s.lists.Load(), qt.Equals, int64(1))
		f.CompareDigest(digest+1, clock.Now())
		synctest.Wait()
		c.Assert(s.lists.Load(), qt.Equals, int64(2))
		c.Assert(f.Instances(), qt.DeepEquals, instances("a"))
		cancel()
		<-done
	})
}

// peers is a Peers of one process, which may fail to reach the platform.
type peers struct {
	known       func(version int64, digest uint64) fleetwatcher.Snapshot
	calls       atomic.Int64
	unreachable atomic.Bool
}

func (p *peers) Ask(_ context.Context, version int64, digest uint64) (fleetwatcher.Snapshot, bool, error) {
	p.calls.Add(1)
	if p.unreachable.Load() {
		return fleetwatcher.Snapshot{}, false, nil
	}
	return p.known(version, digest), true, nil
}

// TestCutOff disconnects one process from the platform while another one sees a
// new configuration and a changed list of targets. The first must get both from
// the second, with their true ages, and must not report a reading of its own.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		ctx, cancel := context.WithCancel(t.Context())
		one, two := &source{changed: make(chan struct{}, 1)}, &source{changed: make(chan struct{}, 1)}
		one.table.Store(&radishspoke.RoutingTable{Version: 1})
		two.table.Store(&radishspoke.RoutingTable{Version: 1})
		var listed atomic.Pointer[[]radishspoke.Instance]
		startFollower := func(s *source, listed func([]radishspoke.Instance)) *fleetwatcher.Watcher {
			f := fleetwatcher.New(fleetwatcher.Settings{}, s, clock, nil, discardLog, func(*radishspoke.RoutingTable) {}, listed)
			go f.RunConfiguration(ctx)
			go f.RunInstances(ctx)
			return f
		}
		other := startFollower(two, func([]radishspoke.Instance) {})
		f := startFollower(one, func(l []radishspoke.Instance) { listed.Store(&l) })
		p := &peers{known: other.Snapshot}
		go f.RunPeers(ctx, p)
		time.Sleep(3 * time.Second)
		c.Assert(p.calls.Load(), qt.Equals, int64(0)) // peers are asked only while the platform is not reached
		one.down.Store(true)
		time.Sleep(2 * time.Second)
		_, read := f.Digest()
		other.HandleList(instances("a", "b"), nil)
		two.table.Store(&radishspoke.RoutingTable{Version: 2})
		two.changed <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		two.down.Store(true) // its lists age from now on
		time.Sleep(2 * time.Second)
		c.Assert(f.Table().Version, qt.Equals, int64(2))
		c.Assert(f.Proof() <= other.Proof(), qt.IsTrue)
		c.Assert(len(*listed.Load()), qt.Equals, 2)
		_, still := f.Digest()
		c.Assert(still, qt.Equals, read)

		// Once the platform is reached again, only its list counts.
		two.down.Store(false)
		one.down.Store(false)
		one.table.Store(&radishspoke.RoutingTable{Version: 2})
		time.Sleep(3 * time.Second)
		calls := p.calls.Load()
		time.Sleep(3 * time.Second)
		c.Assert(p.calls.Load(), qt.Equals, calls)
		c.Assert(len(*listed.Load()), qt.Equals, 1)
		cancel()
		synctest.Wait()
	})
}
