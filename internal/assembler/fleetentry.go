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
	"radishspoke/coordination/admitter"
	"radishspoke/coordination/authenticator"
	"radishspoke/coordination/avoider"
	"radishspoke/coordination/biller"
	"radishspoke/coordination/elector"
	"radishspoke/coordination/estimator"
	"radishspoke/coordination/evacuator"
	"radishspoke/coordination/fleetdispatcher"
	"radishspoke/coordination/fleetlimiter"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/forecaster"
	"radishspoke/coordination/locator"
	"radishspoke/coordination/planner"
	"radishspoke/coordination/quarantiner"
	"radishspoke/coordination/registrar"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/coordination/throttler"
	"radishspoke/platform"
	"radishspoke/state/fleetwatcher"
	"radishspoke/state/gossiper"
	"radishspoke/state/recorder"
	"radishspoke/state/timekeeper"
	"radishspoke/transport/budgeter"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/httpclient"
	"radishspoke/transport/ticker"
)

// FleetEntry is an entry on an external platform. It accepts the requests of
// callers and forwards them to targets. Create one with NewFleetEntry.
type FleetEntry struct {
	settings platform.Settings
	env      Environment

	platformClient *platform.Client
	table          *platform.Table
	watcher        *fleetwatcher.Watcher
	estimator      *estimator.Estimator
	locator        *locator.Locator
	forecaster     *forecaster.Forecaster
	dividers       map[string]*planner.Divider // by group; used by one goroutine only
	router         *fleetrouter.Router
	sequencer      *sequencer.Sequencer
	admitter       *admitter.Admitter
	dispatcher     *fleetdispatcher.Dispatcher
	admits         atomic.Bool // the configuration lets the admitter reject requests
	targetClient   *httpclient.Client
	sidecarClient  *httpclient.Client // also used for requests to other entries
	gossiper       *gossiper.Gossiper
	limiter        *fleetlimiter.Limiter
	biller         *biller.Biller
	elector        *elector.Elector
	storeTime      *timekeeper.Timekeeper
	quarantiner    *quarantiner.Quarantiner
	avoider        *avoider.Avoider
	evacuator      *evacuator.Evacuator
	throttler      *throttler.Throttler
	registry       *registrar.Registry
	history        *registrar.History
	registrar      *registrar.Registrar
	recorder       *recorder.Recorder
	retries        *retryBudgets
	configuration  atomic.Pointer[fleetdispatcher.Configuration] // in force for requests; nil if none is known
	budget         *budgeter.Budget
	callerServer   *http.Server
	callerWatcher  *callerwatcher.Watcher
	readyServer    *http.Server
	peerServer     *http.Server
	metricsServer  *http.Server
	relayClient    *relayer.Client
	udpConn        net.PacketConn
	snapshots      snapshotEncoder

	listener       *drainListener // of callers' connections; set by Start, nil if they do not use TCP
	conns          *connTracker   // connections of callers
	activeRequests atomic.Int64   // number of callers' requests in progress
	leaving        atomic.Bool
	stopPhase      atomic.Int32    // serving, closing or refusing
	stopDeadline   atomic.Int64    // clock time by which a stopping entry must have answered all requests, in ns; 0 if the entry does not stop
	ending         context.Context // canceled by interrupt at the end of a stop
	interrupt      context.CancelFunc
	interrupted    atomic.Int64 // number of requests in progress at that time
	stopTasks      context.CancelFunc
	tasks          sync.WaitGroup
}

// Ports for the system's own traffic, as offsets from Settings.FirstPort.
const (
	gossipPort  = 0 // of entries; UDP for gossip and TCP for snapshots
	sidecarPort = 1 // of sidecars; UDP for notifications from entries
	relayPort   = 2 // of sidecars; TCP for relayed requests
)

const (
	// proofMargin is subtracted from the validity of a proof that the
	// configuration is the newest. It allows for clocks that run at different
	// rates.
	proofMargin = 300 * time.Millisecond

	// headerTimeout limits the time in which the headers of a request must
	// arrive.
	headerTimeout = 10 * time.Second

	// sidecarIdleTimeout limits the idle time of an entry's connections to
	// sidecars and other entries. It is shorter than peerIdleTime, after which these
	// close them.
	sidecarIdleTimeout = time.Minute

	// peerIdleTime is the idle time of connections between processes of the system.
	peerIdleTime = 2 * time.Minute

	// sidecarDialTimeout limits the time to connect to a sidecar. If it
	// passes, the entry calls the engine directly. Round trips take a few ms.
	sidecarDialTimeout = 150 * time.Millisecond

	// peerStream is the stream of random numbers from which the entries are drawn
	// that are asked for snapshots.
	peerStream = 2

	// admissionStream is that from which the times after which callers are asked to retry are
	// drawn.
	admissionStream = 3

	sweepInterval = time.Second

	retryLogInterval = time.Second // between two log lines about the retries of a group

	// retryShare is the share of the allowed retries that entries use. The
	// rest is a reserve: entries divide RetrySlack by the number of entries
	// that they know of, which is not always current.
	retryShare = 0.5
)

// NewFleetEntry returns an entry that does not serve yet. Start must be called
// to begin serving. The parameter metricsPort is the port at which metrics are
// served, or 0 to serve none. An error is returned if the port for gossip
// cannot be opened.
func NewFleetEntry(s platform.Settings, env Environment, metricsPort int) (*FleetEntry, error) {
	e := &FleetEntry{settings: s, env: env, recorder: recorder.New(), conns: newConnTracker()}
	e.ending, e.interrupt = context.WithCancel(context.Background())
	clock := env.Clock
	e.platformClient = platform.New(s, env.Network, clock)
	e.table = platform.NewTable(e.platformClient)
	e.storeTime = timekeeper.New(e.table, clock)
	e.platformClient.ObserveClock(e.storeTime.Observe)
	e.estimator = estimator.New(clock)
	e.locator = locator.New(locator.Settings{}, clock)
	e.forecaster = forecaster.New(clock)
	e.quarantiner = quarantiner.New(quarantiner.Settings{Process: s.Name}, clock, env.Log, e.peers)
	e.avoider = avoider.New(clock, env.Log)
	e.evacuator = evacuator.New(env.Log)
	e.platformClient.ObserveEvacuations(e.evacuator)
	e.throttler = throttler.New(throttler.Settings{Process: s.Name, ColdOvershoot: s.Bounds.ColdOvershoot, ColdSlack: s.Bounds.ColdSlack}, clock, env.Log, e.storeTime.StoreTime, e.peers, func() time.Duration { return e.watcher.ListedAt() })
	e.dividers = map[string]*planner.Divider{}
	e.router = fleetrouter.New(fleetrouter.Settings{Zone: s.Zone, Evacuations: e.evacuator}, clock, rand.New(rand.NewPCG(env.Seed, 1)), e.estimator, e.locator, e.forecaster, e.avoider, e.throttler)
	e.sequencer = sequencer.New(sequencer.Settings{}, clock)
	e.admitter = admitter.New(admitter.Settings{TolerableWait: tolerableWait}, clock, rand.New(rand.NewPCG(env.Seed, admissionStream)), e, e.livePeers, e.admits.Load)
	e.targetClient = httpclient.New(targetCallbacks(e.avoider, e.throttler), env.Network, clock)
	e.sidecarClient = httpclient.New(httpclient.Settings{IdleTimeout: sidecarIdleTimeout, DialTimeout: sidecarDialTimeout}, env.Network, clock)
	e.relayClient = relayer.NewClient(relayer.ClientSettings{Port: s.FirstPort + relayPort, Link: s.Link}, e.sidecarClient, clock, env.Log)
	e.watcher = fleetwatcher.New(fleetwatcher.Settings{Relied: e.reliedOn}, e.platformClient, clock, e.mustWatch, env.Log, e.setConfiguration, e.setInstances)
	e.limiter = fleetlimiter.New(fleetlimiter.Settings{
		Window: s.Bounds.RateWindow, Overshoot: s.Bounds.RateOvershoot, Slack: s.Bounds.RateSlack,
	}, clock, e.peers)
	e.retries = newRetryBudgets(s.Bounds, e.peers)
	e.elector = elector.New(elector.Settings{Name: s.Name, Exclusive: true, Duration: s.Bounds.Lease + usageLeaseMargin, Margin: usageLeaseMargin}, e.table, clock, e.wantedLeases, env.Log)
	usageLease := e.elector.Lease(biller.LeaseName)
	e.biller = biller.New(biller.Settings{Window: s.Bounds.UsageWindow},
		func() (string, uint64) { return s.Name, e.gossiper.Incarnation() }, e.table,
		usageReporter{client: e.platformClient, lease: usageLease, holder: s.Name}, e.storeTime.Now, usageLease, env.Log)
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+gossipPort))
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	e.udpConn = conn
	e.registry, e.history = registrar.NewRegistry(clock), registrar.NewHistory(clock)
	e.registrar = registrar.New(registrar.Settings{}, e.registry, e.history, e.watcher,
		&streamTransport{process: s.Name, firstPort: s.FirstPort, conn: conn, client: e.sidecarClient, clock: clock, log: env.Log}, clock, env.Log)
	e.gossiper = gossiper.New(gossiper.Settings{Process: s.Name, Address: address}, e.table, conn, clock, env.Log, e.fillGossip, e.handleGossip)
	e.dispatcher = fleetdispatcher.New(fleetdispatcher.Dependencies{
		Configurations: e, KeyTrust: e, RateLimiter: e.limiter, RetryBudgets: e.retries, Usage: e.biller, Router: e.router,
		PromptQueue: e.sequencer, RelayClient: e.relayClient, Estimator: e.estimator, Forecaster: e.forecaster, Quarantine: e.quarantiner, Streams: e.registrar, Answers: answerObserver{e.avoider, e.throttler}, Targets: e.targetClient, Shutdown: e, Admitter: e.admitter, SlotTimes: admitter.NewSlotTimes(), Recorder: e.recorder, Clock: clock, Log: env.Log,
	})
	e.budget = newBudget(s, http.Header{}, env.Log)
	logger := slog.NewLogLogger(env.Log.Handler(), slog.LevelWarn) // panics of handlers among others
	e.callerServer = &http.Server{
		Handler: e.trackRequests(e.dispatcher), ReadHeaderTimeout: headerTimeout, ErrorLog: logger, ConnState: e.conns.SetState,
	}
	e.callerWatcher = callerwatcher.New(e.recorder)
	e.callerWatcher.Watch(e.callerServer)
	readyRouter := mux.NewRouter()
	readyRouter.HandleFunc(platform.ReadyPath, e.serveReady)
	e.metricsServer = newMetricsServer(s.IP, metricsPort, e.recorder)
	e.registerGauges()
	e.budget.Register(e.recorder)
	peerRouter := mux.NewRouter()
	peerRouter.HandleFunc(snapshotPath, e.serveSnapshot)
	peerRouter.HandleFunc(wherePath, e.serveWhere)
	e.peerServer = &http.Server{Handler: peerRouter, ReadHeaderTimeout: headerTimeout, ErrorLog: logger}
	e.readyServer = &http.Server{Handler: readyRouter, ReadHeaderTimeout: headerTimeout, ErrorLog: logger}
	return e, nil
}

// Start opens the entry's listeners and starts its goroutines. It returns an
// error if a listener cannot be opened.
func (e *FleetEntry) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	e.stopTasks = cancel
	timers := ticker.New(e.env.Clock)
	for _, l := range []struct {
		server  *http.Server
		address string
		port    budgeter.Port
	}{
		{e.readyServer, e.settings.Ready, budgeter.Port{Name: "ready", Share: budgeter.OtherShare, Reserved: true}},
		{e.peerServer, e.udpConn.LocalAddr().String(), budgeter.Port{Name: "peers", Share: budgeter.OtherShare, Reserved: true, Limits: peerLimits}},
		{e.callerServer, e.settings.Callers, budgeter.Port{Name: "callers", Share: budgeter.MainShare, Limits: e.callerLimits}},
	} {
		n, err := e.env.Network.Listen(l.address)
		if err != nil {
			cancel()
			return err
		}
		if t, ok := n.(*net.TCPListener); ok && l.server == e.callerServer {
			e.listener = newDrainListener(t)
			n = e.listener
		}
		n = e.budget.Protect(l.server, n, l.port)
		e.run(func() { _ = l.server.Serve(n) }) // ends when the server is closed
	}
	if err := serveMetrics(e.metricsServer, e.env.Network, e.budget, e.run); err != nil {
		cancel()
		return err
	}
	e.run(func() { e.watcher.RunConfiguration(ctx) })
	e.run(func() { e.watcher.RunInstances(ctx) })
	e.run(func() { e.watcher.RunPeers(ctx, e, rand.New(rand.NewPCG(e.env.Seed, peerStream))) })
	e.run(func() { e.gossiper.RunDiscovery(ctx) })
	e.run(func() { e.gossiper.RunSend(ctx, timers) })
	e.run(func() { e.gossiper.RunBeacons(ctx, timers, e.fillBeacon) })
	e.run(e.gossiper.RunReceive)
	e.run(func() { e.relayClient.Run(ctx, timers) })
	e.run(func() { e.callerWatcher.Run(ctx, timers) })
	e.run(func() { e.elector.Run(ctx, timers) })
	e.run(func() { e.reportUsage(ctx, timers) })
	e.run(func() { e.logEras(ctx) })
	e.run(func() { e.closeIdle(ctx, timers) })
	e.run(func() { ticker.Each(ctx, timers, retryLogInterval, func() { e.retries.log(e.env.Log) }) })
	e.run(func() { e.notifySidecars(ctx, timers) })
	e.run(func() { e.logAdmission(ctx, timers) })
	e.env.Log.Info("entry started", "process", e.settings.Name, "zone", e.settings.Zone)
	return nil
}

func (e *FleetEntry) run(f func()) { e.tasks.Go(f) }

// gossipInterval is the time between two gossip datagrams to the same peer.
const gossipInterval = 200 * time.Millisecond

// serveReady responds to readiness checks of the platform. An entry is not ready
// if it is stopping, if it has no configuration or no list of evacuated zones yet, or if it
// is cut off from the platform and from other entries for so long that it cannot check keys.
// Callers should then use other entries.
func (e *FleetEntry) serveReady(w http.ResponseWriter, _ *http.Request) {
	t := e.watcher.Table()
	if e.leaving.Load() || t == nil || !e.knowsEvacuations() || t.KeysRequired && !e.trustsKeys() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// trustsKeys returns whether the keys of the configuration can be trusted. They
// can while the last proof that the configuration is the newest is younger than
// the time within which a withdrawn key must be refused, less proofMargin. Without
// Bounds.StrictRevoke they always can.
func (e *FleetEntry) trustsKeys() bool {
	return !e.settings.Bounds.StrictRevoke || e.env.Clock.Now() < e.TrustedUntil()
}

// TrustedUntil returns the clock time until which keys can be trusted, which is
// math.MaxInt64 without Bounds.StrictRevoke. It implements
// fleetdispatcher.KeyTrust.
func (e *FleetEntry) TrustedUntil() time.Duration {
	b := e.settings.Bounds
	if !b.StrictRevoke {
		return math.MaxInt64
	}
	return e.watcher.Proof() + b.Revoke - proofMargin
}

// Configuration returns the newest configuration, or nil if none is known or it is not known
// where requests may go. It implements fleetdispatcher.Configurations.
func (e *FleetEntry) Configuration() *fleetdispatcher.Configuration {
	if !e.knowsEvacuations() {
		return nil
	}
	return e.configuration.Load()
}

// knowsEvacuations reports whether the list of evacuated zones is known, or the platform states
// no time for evacuations.
func (e *FleetEntry) knowsEvacuations() bool {
	_, ok := e.evacuator.State()
	return ok || e.settings.Bounds.Evacuate == 0
}

// setConfiguration puts a new configuration in force for requests, with its keys.
func (e *FleetEntry) setConfiguration(t *radishspoke.RoutingTable) {
	var keys []radishspoke.Key
	for _, team := range t.Teams {
		for _, h := range team.Keys {
			keys = append(keys, radishspoke.Key{Team: team.Name, Hash: h})
		}
	}
	a := authenticator.New(e.trustsKeys)
	a.Configure(keys)
	e.warnRegions(t)
	e.throttler.Configure(t.Groups)
	e.admits.Store(admissionInForce(t))
	e.configuration.Store(&fleetdispatcher.Configuration{Table: t, Keys: a})
}

// setInstances passes a new list of targets to the router, the relay client and all
// that keep something for each engine.
func (e *FleetEntry) setInstances(l []radishspoke.Instance) {
	for k, i := range l {
		l[k].Region = e.settings.RegionOf(i.Zone)
	}
	e.evacuator.Keep(l)
	e.estimator.Keep(l)
	e.locator.Keep(l)
	e.sequencer.Keep(l)
	e.quarantiner.Keep(l)
	e.avoider.Keep(l)
	e.throttler.Keep(l)
	e.registrar.SetTargets(l)
	e.router.SetTargets(l)
	e.relayClient.SetEngines(l)
}

// targetCallbacks returns the settings of a client that records what targets say in their
// answers, and how many requests they get.
func targetCallbacks(a *avoider.Avoider, t *throttler.Throttler) httpclient.Settings {
	o := answerObserver{a, t}
	return httpclient.Settings{
		OnSend:   func(c *httpclient.Call) { t.Count(c.Instance) },
		OnAnswer: func(c *httpclient.Call, status int, h http.Header) { o.Observe(c.Instance, status, h) },
	}
}

// answerObserver records what targets say in their answers.
type answerObserver struct {
	avoider   *avoider.Avoider
	throttler *throttler.Throttler
}

// Observe implements fleetdispatcher.Answers.
func (o answerObserver) Observe(id string, status int, h http.Header) {
	o.avoider.Observe(id, status, h)
	o.throttler.Observe(id, status, h)
}

// peers returns what this entry knows of the others.
func (e *FleetEntry) peers() radishspoke.Peers {
	out := radishspoke.Peers{Known: e.gossiper.Incarnation() > 0, ReadAt: e.gossiper.ReadAt()}
	for _, p := range e.gossiper.Peers() {
		out.List = append(out.List, radishspoke.Peer{Process: p.Process, Silent: !p.Live, ReceivedAt: p.ReceivedAt})
		out.Stated = max(out.Stated, p.Entries)
	}
	return out
}

// closeIdle closes idle connections to targets and sidecars periodically until
// ctx is done.
func (e *FleetEntry) closeIdle(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, sweepInterval, func() {
		e.targetClient.CloseExpired()
		e.sidecarClient.CloseExpired()
	})
}
