package assembler

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"radishspoke"
	"radishspoke/coordination/authenticator"
	"radishspoke/coordination/biller"
	"radishspoke/coordination/elector"
	"radishspoke/coordination/forwarder"
	"radishspoke/coordination/placer"
	"radishspoke/coordination/pooler"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/retrier"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/state/follower"
	"radishspoke/state/gossiper"
	"radishspoke/state/recorder"
	"radishspoke/state/timekeeper"
	"radishspoke/transport/caller"
	"radishspoke/transport/ticker"
)

// FleetEntry is an entry on the users' platform. Make it with NewFleetEntry.
type FleetEntry struct {
	settings platform.Settings
	env      Environment

	client    *platform.Client
	table     *platform.Table
	follower  *follower.Follower
	keys      *authenticator.Authenticator
	placer    *placer.Placer
	sequencer *sequencer.Sequencer
	caller    *caller.Caller
	sidecars  *caller.Caller
	gossiper  *gossiper.Gossiper
	pooler    *pooler.Pooler
	biller    *biller.Biller
	elector   *elector.Elector
	time      *timekeeper.Timekeeper
	recorder  *recorder.Recorder
	repeats   *repeats
	random    *rand.Rand // of the goroutine that asks peers
	callers   *http.Server
	ready     *http.Server
	known     *http.Server
	metrics   *http.Server
	relays    *relayer.Client
	datagrams net.PacketConn

	listener *drainer     // of callers
	arrivals *arrivals    // of callers' requests
	active   atomic.Int64 // callers' requests under way
	leaving  atomic.Bool
	phase    atomic.Int32 // of the stop
	end      atomic.Int64 // of the grace, on the clock, in ns
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

// Ports for datagrams, counted from the first one for the system's own traffic.
const (
	gossipPort  = 0 // of entries
	sidecarPort = 1 // of sidecars
	relayPort   = 2 // for connections, of sidecars
)

// Times of an entry.
const (
	// keyMargin is taken off the time for which a proof that the
	// configuration is the newest holds; it covers clocks of different speed.
	keyMargin = 300 * time.Millisecond

	// headerTime bounds the arrival of a request's headers.
	headerTime = 10 * time.Second

	// callerIdle is how long callers' connections may stay idle; callers
	// reuse them within the idle time that the operators state.
	callerIdle = 2 * time.Minute

	mostHeaders = 64 << 10 // bytes

	// sidecarIdle is how long connections to sidecars are kept, which close
	// theirs later.
	sidecarIdle = time.Minute

	// sidecarDial bounds the opening of a connection to a sidecar; without
	// one the engine is called from here. Round trips take a few ms.
	sidecarDial = 150 * time.Millisecond

	billInterval  = 500 * time.Millisecond
	sweepInterval = time.Second

	// repeatShare is the part of the allowed repeats that entries use: what
	// they know of each other lags.
	repeatShare = 0.5

	// usageMargin is added to the least time between two holders, for the
	// lease of the usage duty, and taken off by its holder.
	usageMargin = time.Second

	// reporters is the number of entries that stand by for the duty.
	reporters = 2
)

// NewFleetEntry returns an entry that is not serving yet. Metrics is the port
// for metrics, or 0.
func NewFleetEntry(s platform.Settings, env Environment, metrics int) (*FleetEntry, error) {
	e := &FleetEntry{settings: s, env: env, recorder: recorder.New(), arrivals: newArrivals()}
	clock := env.Clock
	e.client = platform.New(s, env.Network, clock)
	e.table = platform.NewTable(e.client)
	e.time = timekeeper.New(e.table, clock)
	e.client.Observe(e.time.Observe)
	e.keys = authenticator.New(e.standing)
	e.placer = placer.New(placer.Settings{Zone: s.Zone}, clock, rand.New(rand.NewPCG(env.Seed, 1)))
	e.random = rand.New(rand.NewPCG(env.Seed, 2))
	e.sequencer = sequencer.New(sequencer.Settings{}, clock)
	e.caller = caller.New(caller.Settings{}, env.Network, clock)
	e.sidecars = caller.New(caller.Settings{Idle: sidecarIdle, DialTimeout: sidecarDial}, env.Network, clock)
	e.relays = relayer.NewClient(relayer.ClientSettings{Port: s.FirstPort + relayPort, Link: s.Link}, e.sidecars, clock, env.Log)
	e.follower = follower.New(follower.Settings{}, e.client, clock, e.watch, env.Log, e.configure, e.list)
	e.pooler = pooler.New(pooler.Settings{}, clock, e.peers)
	e.repeats = &repeats{settings: s.Bounds, entries: func() int { return len(e.gossiper.Peers()) + 1 }, budgets: map[string]*retrier.Budget{}}
	e.elector = elector.New(elector.Settings{Name: s.Name, Exclusive: true, Duration: s.Bounds.Lease + usageMargin, Margin: usageMargin}, e.table, clock, e.wanted, env.Log)
	e.biller = biller.New(biller.Settings{Window: s.Bounds.UsageWindow},
		func() (string, uint64) { return s.Name, e.gossiper.Incarnation() }, e.table,
		intake{client: e.client, holder: s.Name}, e.time.Now, func() (int64, bool) { return e.elector.Holds(biller.Duty) }, env.Log)
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+gossipPort))
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	e.datagrams = datagrams
	e.gossiper = gossiper.New(gossiper.Settings{Process: s.Name, Address: address}, e.table, datagrams, clock, env.Log, e.tell, e.hear)
	f := forwarder.New(forwarder.Parts{
		Tables: e.follower, Keys: e.keys, Proofs: e, Limits: e.pooler, Repeats: e.repeats, Usage: e.biller, Placer: e.placer,
		Turns: e.sequencer, Relays: e.relays, Targets: e.caller, Stop: e, Recorder: e.recorder, Clock: clock, Log: env.Log,
	})
	logger := slog.NewLogLogger(env.Log.Handler(), slog.LevelDebug)
	e.callers = &http.Server{
		Handler: e.count(f), ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, MaxHeaderBytes: mostHeaders, ErrorLog: logger,
		ConnState: e.arrivals.Note,
	}
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadyPath, e.serveReady)
	e.metrics = newMetricsServer(s.IP, metrics, e.recorder)
	e.gauges()
	k := mux.NewRouter()
	k.HandleFunc(knownPath, e.serveKnown)
	e.known = &http.Server{Handler: k, ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, ErrorLog: logger}
	e.ready = &http.Server{Handler: r, ReadHeaderTimeout: headerTime, ErrorLog: logger}
	return e, nil
}

// Start begins to serve.
func (e *FleetEntry) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	timers := ticker.New(e.env.Clock)
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{e.ready, e.settings.Ready}, {e.known, e.datagrams.LocalAddr().String()}, {e.callers, e.settings.Callers}} {
		n, err := e.env.Network.Listen(l.address)
		if err != nil {
			cancel()
			return err
		}
		if t, ok := n.(*net.TCPListener); ok && l.server == e.callers {
			e.listener = newDrainer(t)
			n = e.listener
		}
		e.run(func() { _ = l.server.Serve(n) }) // ends when the server is closed
	}
	if err := serveMetrics(e.metrics, e.env.Network, e.run); err != nil {
		cancel()
		return err
	}
	e.run(func() { e.follower.RunConfiguration(ctx) })
	e.run(func() { e.follower.RunInstances(ctx) })
	e.run(func() { e.follower.RunPeers(ctx, e) })
	e.run(func() { e.gossiper.RunDiscovery(ctx) })
	e.run(func() { e.gossiper.RunSend(ctx, timers) })
	e.run(e.gossiper.RunReceive)
	e.run(func() { e.relays.Run(ctx, timers) })
	e.run(func() { e.elector.Run(ctx, timers) })
	e.run(func() { e.bill(ctx, timers) })
	e.run(func() { e.sweep(ctx, timers) })
	e.run(func() { e.notify(ctx, timers) })
	e.env.Log.Info("entry started", "process", e.settings.Name, "zone", e.settings.Zone)
	return nil
}

func (e *FleetEntry) run(f func()) { e.tasks.Go(f) }

// gossipInterval is the time between two datagrams to a peer.
const gossipInterval = 200 * time.Millisecond

// gauges shows what this entry believes.
func (e *FleetEntry) gauges() {
	e.recorder.Gauge("requests_running", func() float64 { return float64(e.active.Load()) })
	e.recorder.Gauge("config_version", func() float64 {
		if t := e.follower.Table(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	e.recorder.Gauge("config_proof_age_seconds", func() float64 { return (e.env.Clock.Now() - e.follower.Proof()).Seconds() })
	e.recorder.Gauge("targets_listed", func() float64 { return float64(len(e.follower.Instances())) })
	e.recorder.Gauge("peers_live", func() float64 {
		n := 0
		for _, p := range e.gossiper.Peers() {
			if p.Live {
				n++
			}
		}
		return float64(n)
	})
	e.recorder.Gauge("target_connections_opened", func() float64 { return float64(e.caller.Dialed()) })
}

// serveReady says whether callers should be sent here. An entry that can't
// check keys, as it is cut off, leaves them to those that can.
func (e *FleetEntry) serveReady(w http.ResponseWriter, _ *http.Request) {
	t := e.follower.Table()
	if e.leaving.Load() || t == nil || t.Keyed && !e.standing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// standing tells whether keys can be trusted: the configuration was the newest
// within the time in which a withdrawn key must stop working.
func (e *FleetEntry) standing() bool {
	return !e.settings.Bounds.StrictRevoke || e.env.Clock.Now() < e.Until()
}

// Until implements forwarder.Proofs.
func (e *FleetEntry) Until() time.Duration {
	b := e.settings.Bounds
	if !b.StrictRevoke {
		return math.MaxInt64
	}
	return e.follower.Proof() + b.Revoke - keyMargin
}

// configure takes a new configuration.
func (e *FleetEntry) configure(t *radishspoke.RoutingTable) {
	var keys []radishspoke.Key
	for _, team := range t.Teams {
		for _, h := range team.Keys {
			keys = append(keys, radishspoke.Key{Team: team.Name, Hash: h})
		}
	}
	e.keys.Configure(keys)
}

// list takes a new list of targets.
func (e *FleetEntry) list(l []radishspoke.Instance) {
	e.placer.List(l)
	e.relays.List(l)
}

// peers returns the entries that limits are shared with.
func (e *FleetEntry) peers() []pooler.Peer {
	list := e.gossiper.Peers()
	out := make([]pooler.Peer, len(list))
	for i, p := range list {
		out[i] = pooler.Peer{Process: p.Process, Silent: !p.Live}
	}
	return out
}

// wanted returns the rank of this process for the duty of reporting usage.
func (e *FleetEntry) wanted() map[string]int {
	if e.leaving.Load() {
		return nil
	}
	if _, holds := e.elector.Holds(biller.Duty); holds || e.rank() < reporters {
		return map[string]int{biller.Duty: 0} // the first to write takes it
	}
	return nil
}

// bill reports usage until ctx ends.
func (e *FleetEntry) bill(ctx context.Context, t radishspoke.Timers) {
	agreed := false
	ticker.Each(ctx, t, billInterval, func() {
		if !agreed {
			err := e.time.Agree(ctx)
			agreed = err == nil
			if err != nil {
				e.env.Log.Debug("time of day not known yet", "error", err)
			}
			return
		}
		if err := e.biller.Step(ctx); err != nil {
			e.env.Log.Warn("usage not reported", "error", err)
		}
	})
}

// sweep closes idle connections until ctx ends.
func (e *FleetEntry) sweep(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, sweepInterval, func() {
		e.caller.Sweep()
		e.sidecars.Sweep()
	})
}
