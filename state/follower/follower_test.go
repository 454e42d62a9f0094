package follower_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/trial"
	"radishspoke/state/follower"
	"radishspoke/transport/ticker"
)

var quiet = slog.New(slog.DiscardHandler)

// source is a platform whose calls are counted.
type source struct {
	table   atomic.Pointer[radishspoke.RoutingTable]
	changed chan struct{}
	lists   atomic.Int64
	feeds   atomic.Int64
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
	s.feeds.Add(1)
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

// TestOutage loses the list of targets while one that leaves and one that stays
// vanish from it.
func TestOutage(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: time.Hour}
	listed := map[string]bool{}
	f := follower.New(follower.Settings{}, nil, clock, nil, quiet, nil, func(list []radishspoke.Instance) {
		clear(listed)
		for _, i := range list {
			listed[i.ID] = true
		}
	})
	f.Listed(instances("stays", "returns", "leaves"), nil)
	// Without an outage what is not listed is gone at once.
	clock.At += time.Second
	f.Listed(instances("stays", "returns", "leaves", "gone"), nil)
	clock.At += time.Second
	f.Listed(instances("stays", "returns", "leaves"), nil)
	c.Assert(listed, qt.DeepEquals, map[string]bool{"stays": true, "returns": true, "leaves": true})
	f.Listed(nil, radishspoke.ErrUnavailable)
	clock.At += 10 * time.Second
	// Just after the outage the list is short: entries have lapsed in it.
	f.Listed(instances("leaves"), nil)
	c.Assert(listed, qt.HasLen, 3)
	clock.At += 500 * time.Millisecond
	// One that was listed after the outage and is no more has left.
	f.Listed(instances("stays"), nil)
	c.Assert(listed, qt.DeepEquals, map[string]bool{"stays": true, "returns": true})
	clock.At += 2 * time.Second
	f.Listed(instances("stays"), nil)
	c.Assert(listed, qt.DeepEquals, map[string]bool{"stays": true})
}

// TestForwardOnly is told old configurations after new ones.
func TestForwardOnly(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: time.Hour}
	var got []int64
	f := follower.New(follower.Settings{}, nil, clock, nil, quiet, func(v *radishspoke.RoutingTable) { got = append(got, v.Version) }, nil)
	f.Learn(&radishspoke.RoutingTable{Version: 5}, 5, 10)
	f.Learn(&radishspoke.RoutingTable{Version: 3}, 3, 20)
	f.Learn(nil, 3, 30) // that 3 was the newest is no proof for 5
	c.Assert(f.Table().Version, qt.Equals, int64(5))
	c.Assert(f.Proof(), qt.Equals, time.Duration(10))
	f.Learn(nil, 5, 40)
	f.Learn(nil, 5, 35)
	c.Assert(f.Proof(), qt.Equals, time.Duration(40))
	f.Learn(&radishspoke.RoutingTable{Version: 6}, 6, 50)
	c.Assert(got, qt.DeepEquals, []int64{5, 6})
}

// TestWatch begins to watch while a long wait is under way: the wait is given
// up, and proves nothing.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{changed: make(chan struct{})}
		s.table.Store(&radishspoke.RoutingTable{Version: 1})
		var watch atomic.Bool
		clock := ticker.NewRunClock()
		f := follower.New(follower.Settings{}, s, clock, watch.Load, quiet, func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.RunConfiguration(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		time.Sleep(3 * time.Second)
		c.Assert(s.feeds.Load(), qt.Equals, int64(1))
		proof := f.Proof()
		s.down.Store(true)
		watch.Store(true)
		time.Sleep(time.Second)
		c.Assert(f.Proof(), qt.Equals, proof)
		s.down.Store(false)
		time.Sleep(2 * time.Second)
		// A proof is the begin of a wait that was answered, so it is at most
		// two waits old.
		c.Check(clock.Now()-f.Proof() <= 2*time.Second, qt.IsTrue)
		// A change is in force at once, however long the wait.
		watch.Store(false)
		time.Sleep(5 * time.Second)
		s.table.Store(&radishspoke.RoutingTable{Version: 2})
		s.changed <- struct{}{}
		synctest.Wait()
		c.Assert(f.Table().Version, qt.Equals, int64(2))
	})
}

// TestTold counts the reads of the list of a process that does not watch.
func TestTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &source{}
		clock := ticker.NewRunClock()
		f := follower.New(follower.Settings{}, s, clock, func() bool { return false }, quiet, nil, func([]radishspoke.Instance) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.RunInstances(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		c.Assert(s.lists.Load(), qt.Equals, int64(1))
		digest, read := f.Digest()
		f.Told(digest, clock.Now()) // the same list
		f.Told(digest+1, read)      // an older one
		f.Told(0, clock.Now())      // none
		time.Sleep(time.Second)
		c.Assert(s.lists.Load(), qt.Equals, int64(1))
		f.Told(digest+1, clock.Now())
		synctest.Wait()
		c.Assert(s.lists.Load(), qt.Equals, int64(2))
		c.Assert(f.Instances(), qt.DeepEquals, instances("a"))
		cancel()
		<-done
	})
}

// peers is another process that reaches the platform.
type peers struct {
	known func(version int64, digest uint64) follower.Known
	asked atomic.Int64
	away  atomic.Bool
}

func (p *peers) Ask(_ context.Context, version int64, digest uint64) (follower.Known, bool, error) {
	p.asked.Add(1)
	if p.away.Load() {
		return follower.Known{}, false, nil
	}
	return p.known(version, digest), true, nil
}

// TestCutOff cuts one process off the platform while another one sees a new
// configuration and a target that leaves: the first learns both, with the age
// that they have, and still doesn't pass as one that reads the platform.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewRunClock()
		ctx, cancel := context.WithCancel(t.Context())
		one, two := &source{changed: make(chan struct{}, 1)}, &source{changed: make(chan struct{}, 1)}
		one.table.Store(&radishspoke.RoutingTable{Version: 1})
		two.table.Store(&radishspoke.RoutingTable{Version: 1})
		var listed atomic.Pointer[[]radishspoke.Instance]
		start := func(s *source, listed func([]radishspoke.Instance)) *follower.Follower {
			f := follower.New(follower.Settings{}, s, clock, nil, quiet, func(*radishspoke.RoutingTable) {}, listed)
			go f.RunConfiguration(ctx)
			go f.RunInstances(ctx)
			return f
		}
		other := start(two, func([]radishspoke.Instance) {})
		f := start(one, func(l []radishspoke.Instance) { listed.Store(&l) })
		p := &peers{known: other.Known}
		go f.RunPeers(ctx, p)
		time.Sleep(3 * time.Second)
		c.Assert(p.asked.Load(), qt.Equals, int64(0)) // nobody is asked without need
		one.down.Store(true)
		time.Sleep(2 * time.Second)
		_, read := f.Digest()
		other.Listed(instances("a", "b"), nil)
		two.table.Store(&radishspoke.RoutingTable{Version: 2})
		two.changed <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		two.down.Store(true) // what it knows gets older from now on
		time.Sleep(2 * time.Second)
		c.Assert(f.Table().Version, qt.Equals, int64(2))
		c.Assert(f.Proof() <= other.Proof(), qt.IsTrue)
		c.Assert(len(*listed.Load()), qt.Equals, 2)
		_, still := f.Digest()
		c.Assert(still, qt.Equals, read)

		// On its own again, it goes back to what it reads.
		two.down.Store(false)
		one.down.Store(false)
		one.table.Store(&radishspoke.RoutingTable{Version: 2})
		time.Sleep(3 * time.Second)
		asked := p.asked.Load()
		time.Sleep(3 * time.Second)
		c.Assert(p.asked.Load(), qt.Equals, asked)
		c.Assert(len(*listed.Load()), qt.Equals, 1)
		cancel()
		synctest.Wait()
	})
}
