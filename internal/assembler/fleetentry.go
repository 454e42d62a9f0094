package assembler

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/coordination/authenticator"
	"radishspoke/coordination/biller"
	"radishspoke/coordination/elector"
	"radishspoke/coordination/forwarder"
	"radishspoke/coordination/placer"
	"radishspoke/coordination/pooler"
	"radishspoke/coordination/retrier"
	"radishspoke/coordination/usher"
	"radishspoke/platform"
	"radishspoke/protocol/wire"
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
	usher     *usher.Usher
	caller    *caller.Caller
	gossiper  *gossiper.Gossiper
	pooler    *pooler.Pooler
	biller    *biller.Biller
	elector   *elector.Elector
	time      *timekeeper.Timekeeper
	recorder  *recorder.Recorder
	repeats   *repeats
	callers   *http.Server
	ready     *http.Server
	metrics   *http.Server
	datagrams net.PacketConn

	listener net.Listener // of callers
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

	billInterval  = 500 * time.Millisecond
	sweepInterval = time.Second

	// repeatShare is the part of the allowed repeats that entries use: what
	// they know of each other lags.
	repeatShare = 0.5

	// usageLease outlasts the least time between two holders, with the
	// margin on both sides.
	usageLease  = 4 * time.Second
	usageMargin = time.Second

	// reporters is the number of entries that stand by for the duty.
	reporters = 2
)

// NewFleetEntry returns an entry that is not serving yet. Metrics is the port
// for metrics, or 0.
func NewFleetEntry(s platform.Settings, env Environment, metrics int) (*FleetEntry, error) {
	e := &FleetEntry{settings: s, env: env, recorder: recorder.New()}
	clock := env.Clock
	e.client = platform.New(s, env.Network, clock)
	e.table = platform.NewTable(e.client)
	e.time = timekeeper.New(e.table, clock)
	e.client.Observe(e.time.Observe)
	e.keys = authenticator.New(e.standing)
	e.placer = placer.New(placer.Settings{Zone: s.Zone}, clock, rand.New(rand.NewPCG(env.Seed, 1)))
	e.usher = usher.New(usher.Settings{}, clock)
	e.caller = caller.New(caller.Settings{}, env.Network, clock)
	e.follower = follower.New(follower.Settings{}, e.client, clock, e.watch, env.Log, e.configure, e.placer.List)
	e.pooler = pooler.New(pooler.Settings{}, clock, e.peers)
	e.repeats = &repeats{settings: s.Bounds, entries: func() int { return len(e.gossiper.Peers()) + 1 }, budgets: map[string]*retrier.Budget{}}
	e.elector = elector.New(elector.Settings{Name: s.Name, Duration: usageLease, Margin: usageMargin}, e.table, clock, e.wanted, env.Log)
	e.biller = biller.New(biller.Settings{Window: s.Bounds.UsageWindow}, e.table,
		intake{client: e.client, holder: s.Name}, e.time.Now, func() (int64, bool) { return e.elector.Holds(biller.Duty) }, env.Log)
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+gossipPort))
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	e.datagrams = datagrams
	e.gossiper = gossiper.New(gossiper.Settings{Process: s.Name, Address: address}, e.table, datagrams, clock, env.Log, e.tell, e.hear)
	f := forwarder.New(forwarder.Parts{
		Tables: e.follower, Keys: e.keys, Limits: e.pooler, Repeats: e.repeats, Usage: e.biller, Placer: e.placer,
		Turns: e.usher, Targets: e.caller, Stop: e, Recorder: e.recorder, Clock: clock, Log: env.Log,
	})
	logger := slog.NewLogLogger(env.Log.Handler(), slog.LevelDebug)
	e.callers = &http.Server{
		Handler: e.count(f), ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, MaxHeaderBytes: mostHeaders, ErrorLog: logger,
	}
	r := mux.NewRouter()
	r.HandleFunc("/readiness", e.serveReady)
	e.metrics = newMetricsServer(s.IP, metrics, e.recorder)
	e.gauges()
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
	}{{e.ready, e.settings.Ready}, {e.callers, e.settings.Callers}} {
		n, err := e.env.Network.Listen(l.address)
		if err != nil {
			cancel()
			return err
		}
		if l.server == e.callers {
			e.listener = n
		}
		e.run(func() { _ = l.server.Serve(n) }) // ends when the server is closed
	}
	if err := serveMetrics(e.metrics, e.env.Network, e.run); err != nil {
		cancel()
		return err
	}
	e.run(func() { e.follower.RunConfiguration(ctx) })
	e.run(func() { e.follower.RunInstances(ctx) })
	e.run(func() { e.gossiper.RunDiscovery(ctx) })
	e.run(func() { e.gossiper.RunSend(ctx, timers) })
	e.run(e.gossiper.RunReceive)
	e.run(func() { e.elector.Run(ctx, timers) })
	e.run(func() { e.bill(ctx, timers) })
	e.run(func() { e.sweep(ctx, timers) })
	e.run(func() { e.notify(ctx, timers) })
	e.env.Log.Info("entry started", "process", e.settings.Name, "zone", e.settings.Zone)
	return nil
}

func (e *FleetEntry) run(f func()) { e.tasks.Go(f) }

// Times of a planned stop, within the platform's grace.
const (
	// noticeTime is how long the platform may take to see that an entry is
	// not ready: two checks a second apart, and their answers.
	noticeTime = 2200 * time.Millisecond

	// lastTime is how long the entry still takes new connections after that:
	// what was on its way when the platform noticed.
	lastTime = 200 * time.Millisecond

	// stopMargin is what is left of the grace when the last connections are
	// closed; it holds the write of usage and the last datagrams.
	stopMargin = 900 * time.Millisecond

	idlePoll = 20 * time.Millisecond

	// usageTimeout bounds the write of what a stopping entry knows of usage.
	usageTimeout = 300 * time.Millisecond
)

// Stop ends the entry so that no request is cut: it says that it is not ready,
// serves until the platform sends no more callers, asks those that are
// connected to leave, and ends once all have their answers. It is over as soon
// as it can be, as the host's next process is what serves its callers again.
func (e *FleetEntry) Stop() {
	end := e.env.Clock.Now() + e.settings.Bounds.Grace - stopMargin
	e.leaving.Store(true)
	e.env.Log.Info("entry stops", "process", e.settings.Name)
	time.Sleep(noticeTime)
	e.end.Store(int64(end))
	e.phase.Store(parting)
	time.Sleep(lastTime)
	_ = e.listener.Close()
	for e.active.Load() > 0 && e.env.Clock.Now() < end {
		time.Sleep(idlePoll)
	}
	e.phase.Store(ended)
	time.Sleep(idlePoll)
	if n := e.active.Load(); n > 0 {
		e.env.Log.Warn("requests cut at the end of the grace", "requests", n)
	}
	_ = e.callers.Close()
	left, cancel := context.WithTimeout(context.Background(), usageTimeout)
	if err := e.biller.Leave(left, e.settings.Name, e.gossiper.Incarnation()); err != nil {
		e.env.Log.Warn("usage not left behind", "error", err)
	}
	cancel()
	e.gossiper.Leave()
	time.Sleep(2 * gossipInterval) // the last counts reach the others
	e.stop()
	_ = e.ready.Close()
	_ = e.metrics.Close()
	_ = e.datagrams.Close()
	e.tasks.Wait()
	e.env.Log.Info("entry stopped", "process", e.settings.Name)
}

// The phases of an entry's stop.
const (
	serving int32 = iota
	parting       // answers ask callers to use other connections
	ended         // no request is taken any more
)

// count serves a request and counts it while it is under way. Connections are
// never closed for being idle: a request may be arriving on one.
func (e *FleetEntry) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		phase := e.phase.Load()
		if phase != serving {
			w.Header().Set("Connection", "close")
		}
		if phase == ended {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Remaining returns the time within which new requests must be answered, if
// this entry is stopping.
func (e *FleetEntry) Remaining() (time.Duration, bool) {
	if e.phase.Load() == serving {
		return 0, false
	}
	return time.Duration(e.end.Load()) - e.env.Clock.Now(), true
}

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
	b := e.settings.Bounds
	return !b.StrictRevoke || e.env.Clock.Now()-e.follower.Proof() < b.Revoke-keyMargin
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
	rank := 0
	for _, p := range e.gossiper.Peers() {
		if p.Live && p.Process < e.settings.Name {
			rank++
		}
	}
	if _, holds := e.elector.Holds(biller.Duty); holds || rank < reporters {
		return map[string]int{biller.Duty: 0} // the first to write takes it
	}
	return nil
}

// freshTime is how old the proof that the configuration is the newest may be
// before an entry watches the platform itself.
const freshTime = 2500 * time.Millisecond

// watch tells whether this process watches the platform closely.
func (e *FleetEntry) watch() bool {
	var others []follower.Other
	for _, p := range e.gossiper.Peers() {
		others = append(others, follower.Other{Process: p.Process, Watching: p.Watching})
	}
	return follower.Needed(e.settings.Name, others) || e.env.Clock.Now()-e.follower.Proof() > freshTime
}

// tell fills a datagram with what this entry knows.
func (e *FleetEntry) tell(m *wire.Gossip) {
	if t := e.follower.Table(); t != nil {
		m.Version, m.ProofAgeUs = t.Version, (e.env.Clock.Now() - e.follower.Proof()).Microseconds()
	}
	digest, read := e.follower.Digest()
	age := e.env.Clock.Now() - read
	m.Digest, m.DigestAgeUs, m.Watching = digest, age.Microseconds(), age < follower.WatchAge
	for team, t := range e.pooler.Totals() {
		m.Spending = append(m.Spending, &wire.Spending{Team: team, Tokens: t.Spent, Level: t.Level})
	}
	for w, c := range e.biller.Recent() {
		m.Windows = append(m.Windows, &wire.WindowUsage{Window: w, Begun: c})
	}
}

// hear takes the news of a datagram.
func (e *FleetEntry) hear(n gossiper.News) {
	e.follower.Learn(nil, n.Version, n.Proof)
	e.follower.Told(n.Message.GetDigest(), n.Listed)
	totals := map[string]pooler.Total{}
	for _, s := range n.Message.GetSpending() {
		totals[s.GetTeam()] = pooler.Total{Spent: s.GetTokens(), Level: s.GetLevel()}
	}
	e.pooler.Heard(n.Process, n.Incarnation, totals)
	for _, w := range n.Message.GetWindows() {
		e.biller.Heard(n.Process, n.Incarnation, w.GetWindow(), w.GetBegun())
	}
}

// bill reports usage until ctx ends.
func (e *FleetEntry) bill(ctx context.Context, t radishspoke.Timers) {
	ticks, stop := t.Every(billInterval)
	defer stop()
	agreed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if !agreed {
			err := e.time.Agree(ctx)
			agreed = err == nil
			if err != nil {
				e.env.Log.Debug("time of day not known yet", "error", err)
			}
			continue
		}
		if err := e.biller.Step(ctx); err != nil {
			e.env.Log.Warn("usage not reported", "error", err)
		}
	}
}

// sweep closes idle connections until ctx ends.
func (e *FleetEntry) sweep(ctx context.Context, t radishspoke.Timers) {
	ticks, stop := t.Every(sweepInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			e.caller.Sweep()
		}
	}
}

// notifyInterval is the time between two datagrams to a sidecar.
const notifyInterval = time.Second

// notify tells sidecars which list of targets is the newest, until ctx ends, if
// this entry is the first. A sidecar that hears nothing reads the list itself.
func (e *FleetEntry) notify(ctx context.Context, t radishspoke.Timers) {
	ticks, stop := t.Every(notifyInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		digest, read := e.follower.Digest()
		if !e.first() || digest == 0 || e.env.Clock.Now()-read > freshTime {
			continue
		}
		data, err := proto.Marshal(&wire.Gossip{Process: e.settings.Name, Digest: digest})
		if err != nil {
			e.env.Log.Error("datagram not encoded", "error", err)
			continue
		}
		for _, i := range e.follower.Instances() {
			host, err := netip.ParseAddrPort(i.Address)
			if i.Role == "" || err != nil {
				continue
			}
			to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(host.Addr(), uint16(e.settings.FirstPort+sidecarPort)))
			if _, err := e.datagrams.WriteTo(data, to); err != nil {
				e.env.Log.Debug("datagram not sent", "to", to, "error", err)
			}
		}
	}
}

// first tells whether no live entry comes before this one.
func (e *FleetEntry) first() bool {
	for _, p := range e.gossiper.Peers() {
		if p.Live && p.Process < e.settings.Name {
			return false
		}
	}
	return true
}

// intake reports usage under this process's name.
type intake struct {
	client *platform.Client
	holder string
}

// ReportUsage implements biller.Intake.
func (i intake) ReportUsage(ctx context.Context, epoch, window int64, counts map[string]int64) error {
	return i.client.ReportUsage(ctx, platform.Tenure{Holder: i.holder, Epoch: epoch}, window, counts)
}

// repeats keeps a budget of repeated requests for each group.
type repeats struct {
	settings platform.Bounds
	entries  func() int

	mu      sync.Mutex
	budgets map[string]*retrier.Budget
}

// Request implements forwarder.Repeats.
func (r *repeats) Request(group string) { r.budget(group).Request() }

// Repeat implements forwarder.Repeats.
func (r *repeats) Repeat(group string) bool { return r.budget(group).Retry() }

func (r *repeats) budget(group string) *retrier.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[group]
	if !ok {
		b = retrier.NewBounded(repeatShare*r.settings.RetryRatio, repeatShare*r.settings.RetrySlack/float64(r.entries()))
		r.budgets[group] = b
	}
	return b
}
