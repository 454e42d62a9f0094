package fleetwatcher_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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

// The ways in which the store of a simulatedFleet turns a process away.
const (
	served  = iota
	refused // calls fail at once
	ignored // calls get no answer
	ways
)

// simulatedFleet is a store and processes that follow it and send each other datagrams, in
// simulated time. Each process may be turned away by the store, be cut off from the others, or
// stand still, in which case it replies to nobody.
type simulatedFleet struct {
	clock     radishspoke.Clock
	processes []*simulatedProcess
	calls     atomic.Int64 // to the store
	snapshots atomic.Int64 // requested from peers

	mu      sync.Mutex
	random  *rand.Rand
	newest  *radishspoke.RoutingTable
	changed chan struct{}   // closed and replaced at each change
	list    map[string]bool // targets
}

const (
	roundTrip        = 4 * time.Millisecond
	datagramInterval = 200 * time.Millisecond
	datagramFanout   = 8
	liveTimeout      = time.Second
	lostCallTime     = 1500 * time.Millisecond // after which a call without an answer fails, beyond its wait
)

// simulatedProcess is one process of a simulatedFleet. It implements fleetwatcher.Source and
// fleetwatcher.Peers.
type simulatedProcess struct {
	fleet   *simulatedFleet
	name    string
	watcher *fleetwatcher.Watcher
	way     atomic.Int32 // in which the store treats it
	cut     atomic.Bool  // from the other processes
	still   atomic.Bool  // stands still

	mu    sync.Mutex
	heard map[int]heardState
	next  int // index of the process that gets the next datagram
}

type heardState struct {
	at       time.Duration
	version  int64
	watching bool
}

// newSimulatedFleet returns a fleet whose processes follow version 1 of the configuration.
func newSimulatedFleet(ctx context.Context, size int, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		clock: ticker.NewMonotonicClock(), random: rand.New(rand.NewPCG(seed, 1)), newest: &radishspoke.RoutingTable{Version: 1}, changed: make(chan struct{}),
		list: map[string]bool{"a": true, "b": true},
	}
	for n := range size {
		p := &simulatedProcess{fleet: f, name: fmt.Sprintf("%03d", n), heard: map[int]heardState{}, next: n + 1}
		p.watcher = fleetwatcher.New(fleetwatcher.Settings{}, p, f.clock, p.mustWatch, discardLog, func(*radishspoke.RoutingTable) {}, func([]radishspoke.Instance) {})
		f.processes = append(f.processes, p)
	}
	for n, p := range f.processes {
		go p.watcher.RunConfiguration(ctx)
		go p.watcher.RunInstances(ctx)
		go p.watcher.RunPeers(ctx, p, rand.New(rand.NewPCG(seed, uint64(2+n))))
		go f.sendDatagrams(ctx, n)
	}
	return f
}

// commit writes the next version of the configuration and returns it.
func (f *simulatedFleet) commit() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = &radishspoke.RoutingTable{Version: f.newest.Version + 1}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.newest.Version
}

func (f *simulatedFleet) current() (*radishspoke.RoutingTable, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest, f.changed
}

// set lists the targets with the given ids, or removes them from the list.
func (f *simulatedFleet) set(listed bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if listed {
			f.list[id] = true
		} else {
			delete(f.list, id)
		}
	}
}

// targets returns the ids of the targets that are listed.
func (f *simulatedFleet) targets() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.list))
}

// draw returns a random number below n.
func (f *simulatedFleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// sendDatagrams sends the datagrams of one process.
func (f *simulatedFleet) sendDatagrams(ctx context.Context, from int) {
	p := f.processes[from]
	time.Sleep(time.Duration(f.draw(int(datagramInterval))))
	for ticker.Sleep(ctx, datagramInterval) {
		if p.still.Load() || p.cut.Load() {
			continue
		}
		version, proof := int64(0), p.watcher.Proof()
		if t := p.watcher.Table(); t != nil {
			version = t.Version
		}
		digest, read := p.watcher.Digest()
		for range min(datagramFanout, len(f.processes)-1) {
			if p.next%len(f.processes) == from {
				p.next++
			}
			to := f.processes[p.next%len(f.processes)]
			p.next++
			if to.still.Load() || to.cut.Load() {
				continue
			}
			to.mu.Lock()
			to.heard[from] = heardState{f.clock.Now(), version, p.watcher.Watching()}
			to.mu.Unlock()
			to.watcher.UpdateConfiguration(nil, version, proof)
			if digest != 0 {
				to.watcher.RecordServed(p.watcher.Served(), read)
			}
			to.watcher.CompareDigest(digest, read, p.watcher.Changes(1100*time.Millisecond))
		}
	}
}

// PeerStates implements fleetwatcher.Peers.
func (p *simulatedProcess) PeerStates() []fleetwatcher.PeerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.fleet.clock.Now()
	rounds := len(p.fleet.processes)/datagramFanout + 1
	var out []fleetwatcher.PeerState
	for n, h := range p.heard {
		live := now-h.at < max(liveTimeout, 2*time.Duration(rounds)*datagramInterval)
		out = append(out, fleetwatcher.PeerState{
			Process: p.fleet.processes[n].name, Address: strconv.Itoa(n), Live: live, Watching: live && h.watching, Configuration: h.version,
		})
	}
	slices.SortFunc(out, func(a, b fleetwatcher.PeerState) int { return strings.Compare(a.Process, b.Process) })
	return out
}

func (p *simulatedProcess) mustWatch() bool {
	return fleetwatcher.MustWatch(p.name, p.PeerStates()) || p.fleet.clock.Now()-p.watcher.Proof() > 2500*time.Millisecond
}

// FetchSnapshot implements fleetwatcher.Peers.
func (p *simulatedProcess) FetchSnapshot(ctx context.Context, address string, version int64, digest uint64, begun func()) (fleetwatcher.Snapshot, error) {
	p.fleet.snapshots.Add(1)
	n, err := strconv.Atoi(address)
	if err != nil {
		return fleetwatcher.Snapshot{}, err
	}
	from := p.fleet.processes[n]
	if !ticker.Sleep(ctx, roundTrip) {
		return fleetwatcher.Snapshot{}, ctx.Err()
	}
	if from.still.Load() || from.cut.Load() || p.cut.Load() {
		<-ctx.Done()
		return fleetwatcher.Snapshot{}, ctx.Err()
	}
	begun()
	return from.watcher.Snapshot(version, digest), nil
}

// call makes one call to the store, whose answer takes wait at most. It returns when it has
// been served.
func (p *simulatedProcess) call(ctx context.Context, wait time.Duration) error {
	p.fleet.calls.Add(1)
	if !ticker.Sleep(ctx, roundTrip) {
		return ctx.Err()
	}
	switch p.way.Load() {
	case refused:
		return radishspoke.ErrUnavailable
	case ignored:
		ticker.Sleep(ctx, wait+lostCallTime)
		return radishspoke.ErrUnavailable
	}
	return nil
}

// Configuration implements fleetwatcher.Source.
func (p *simulatedProcess) Configuration(ctx context.Context) (*radishspoke.RoutingTable, radishspoke.StorePosition, error) {
	if err := p.call(ctx, 0); err != nil {
		return nil, radishspoke.StorePosition{}, err
	}
	t, _ := p.fleet.current()
	return t, radishspoke.StorePosition{Version: t.Version}, nil
}

// NextConfiguration implements fleetwatcher.Source.
func (p *simulatedProcess) NextConfiguration(ctx context.Context, after radishspoke.StorePosition, wait time.Duration) (*radishspoke.RoutingTable, radishspoke.StorePosition, error) {
	if err := p.call(ctx, wait); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t, changed := p.fleet.current()
		if t.Version > after.Version {
			return t, radishspoke.StorePosition{Version: t.Version}, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-timer.C:
			return nil, after, nil
		case <-changed:
		}
		if p.way.Load() == ignored { // the change gets lost
			ticker.Sleep(ctx, wait+lostCallTime)
			return nil, after, radishspoke.ErrUnavailable
		}
	}
}

// Instances implements fleetwatcher.Source.
func (p *simulatedProcess) Instances(ctx context.Context, _ func(error)) ([]radishspoke.Instance, error) {
	if err := p.call(ctx, 0); err != nil {
		return nil, err
	}
	return instances(p.fleet.targets()...), nil
}

// inTouch reports whether a process runs and reaches the others.
func (p *simulatedProcess) inTouch() bool { return !p.cut.Load() && !p.still.Load() }

// TestChangesWhileTurnedAway guards against CONFIG of issue 41: beside random troubles, a change
// of the configuration is not in force within the bound, 2 s, at a process that reaches the
// others, although the store serves one of them; or an older version comes back.
func TestChangesWhileTurnedAway(t *testing.T) {
	const bound = 2 * time.Second
	for _, k := range []struct {
		size    int
		seeds   uint64
		changes int
	}{{5, 20, 15}, {29, 5, 15}, {100, 1, 15}, {400, 1, 4}} {
		var delays []time.Duration
		var calls, snapshots int64
		for seed := range k.seeds {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newSimulatedFleet(ctx, k.size, seed)
				time.Sleep(5 * time.Second)
				last := make([]int64, k.size)
				for range k.changes {
					settled := make([]time.Duration, k.size) // since when a process is in touch
					for n, p := range f.processes[1:] {      // one is always well, but may not be one that watches
						p.way.Store(int32(f.draw(ways)))
						p.cut.Store(f.draw(10) == 0)
						p.still.Store(f.draw(10) == 0)
						settled[n+1] = f.clock.Now()
					}
					time.Sleep(time.Duration(f.draw(int(4 * time.Second))))
					version, committed := f.commit(), f.clock.Now()
					pending := map[int]bool{}
					for n, p := range f.processes {
						pending[n] = p.inTouch()
					}
					for f.clock.Now()-committed < bound {
						time.Sleep(10 * time.Millisecond)
						for n, p := range f.processes {
							got := p.watcher.Table().Version
							qt.Assert(t, got >= last[n], qt.IsTrue, qt.Commentf("size %d, seed %d: version went back", k.size, seed))
							last[n] = got
							if pending[n] && got >= version {
								pending[n] = false
								delays = append(delays, f.clock.Now()-committed)
							}
						}
					}
					for n, p := range f.processes {
						qt.Assert(t, pending[n], qt.IsFalse, qt.Commentf("size %d, seed %d: process %d has version %d of %d, way %d", k.size, seed, n, last[n], version, p.way.Load()))
					}
				}
				calls, snapshots = calls+f.calls.Load(), snapshots+f.snapshots.Load()
				cancel()
				synctest.Wait()
			})
		}
		slices.Sort(delays)
		t.Logf("%d processes: in force after %v (median), %v (99 of 100), %v (worst); %d calls to the store and %d requests to peers for %d changes",
			k.size, delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1], calls, snapshots, k.seeds*uint64(k.changes))
	}
}
