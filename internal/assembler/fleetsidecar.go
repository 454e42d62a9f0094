package assembler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/coordination/avoider"
	"radishspoke/coordination/evacuator"
	"radishspoke/coordination/planner"
	"radishspoke/coordination/registrar"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/throttler"
	"radishspoke/platform"
	"radishspoke/protocol/wire"
	"radishspoke/state/fleetwatcher"
	"radishspoke/state/recorder"
	"radishspoke/transport/budgeter"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/httpclient"
	"radishspoke/transport/ticker"
)

// FleetSidecar is the process that runs next to an engine on an external
// platform. It relays requests whose prompts its engine processes, first to its
// engine and then to the engine that generates the response. It is the only process
// that orders its engine to change the role. Create one with NewFleetSidecar.
type FleetSidecar struct {
	settings       platform.Settings
	env            Environment
	engineClient   *httpclient.Client
	avoider        *avoider.Avoider
	evacuator      *evacuator.Evacuator
	throttler      *throttler.Throttler
	watcher        *fleetwatcher.Watcher
	started        time.Duration
	evacuationsAt  time.Duration // when planLoop last read the list of evacuated zones
	lastNotified   atomic.Int64  // clock time of the last notification from an entry, in ns
	udpConn        net.PacketConn
	metricsServer  *http.Server
	relayer        *relayer.Relayer
	registry       *registrar.Registry
	history        *registrar.History
	registrar      *registrar.Registrar
	budget         *budgeter.Budget
	relayServer    *http.Server
	relayListener  *drainListener // of entries' connections; set by Start, nil if they do not use TCP
	relayConns     *connTracker   // connections of entries
	entryWatcher   *callerwatcher.Watcher
	acceptedOrders atomic.Int64 // number of orders accepted by the engine
	stopTasks      context.CancelFunc
	tasks          sync.WaitGroup

	readEvacuations func(context.Context) error // from the store

	everDeviated   bool          // whether this engine or others had to change roles when the system started
	deviatingSince time.Duration // clock time since which they differ; 0 if they do not

	mu            sync.Mutex
	instances     []radishspoke.Instance
	prefillShares map[string]float64 // wanted share of prefill engines, by group, as smoothed
}

const (
	// listInterval is the time between two reads of the list of targets while
	// no entry sends notifications. Roles are planned twice in this time.
	listInterval = 2 * time.Second

	// engineTimeout limits the reading of the engine's report together with the
	// order that follows it.
	engineTimeout = time.Second

	// orderEpoch is the fencing token of a sidecar's orders. It is constant,
	// because no other process gives orders to the engine.
	orderEpoch = 1

	// firstPrefillShare is the share of a group's engines that have the role prefill
	// until an entry has measured the load. prefillTolerance is the deviation from the
	// wanted share that is accepted for a time while callers are served.
	firstPrefillShare = 0.67
	prefillTolerance  = 0.12

	// lastingTolerance is the deviation, in engines, that is never corrected, so that
	// a share between two numbers of engines does not change roles back and forth.
	lastingTolerance = 0.75

	// startupDelay is the time after its start in which a sidecar gives no
	// orders. Engines and entries that start at the same time are listed by then,
	// so that all sidecars plan from the same list.
	startupDelay = 4500 * time.Millisecond

	// deviationDelay is the time for which a deviation within prefillTolerance
	// must last before an engine changes its role. By then crashed engines have
	// restarted, and the list shows the new roles of engines that were ordered
	// to change.
	deviationDelay = 6 * time.Second

	// notificationTimeout is the time without a notification from an entry
	// after which a sidecar reads the list of targets each listInterval. A
	// sidecar receives one notification each second.
	notificationTimeout = 3500 * time.Millisecond

	// refusalTime is the time for which a stopping sidecar refuses new relayed
	// requests before it closes the connections of entries. From then on the
	// entries call the engine directly.
	refusalTime = 300 * time.Millisecond

	maxReportBytes   = 1 << 20  // bytes
	maxDatagramBytes = 60 << 10 // bytes
)

// NewFleetSidecar returns a sidecar that does not run yet. Start must be called
// to run it. The parameter metricsPort is the port at which metrics are served,
// or 0 to serve none. An error is returned if the port for notifications cannot
// be opened.
func NewFleetSidecar(s platform.Settings, env Environment, metricsPort int) (*FleetSidecar, error) {
	d := &FleetSidecar{prefillShares: map[string]float64{}, relayConns: newConnTracker(), settings: s, env: env, started: env.Clock.Now(), avoider: avoider.New(env.Clock, env.Log), evacuator: evacuator.New(env.Log)}
	d.throttler = throttler.New(throttler.Settings{Process: s.Name}, env.Clock, env.Log, noCommonTime, noPeers, func() time.Duration { return d.watcher.ListedAt() })
	d.engineClient = httpclient.New(targetCallbacks(d.avoider, d.throttler), env.Network, env.Clock)
	client := platform.New(s, env.Network, env.Clock)
	client.ObserveEvacuations(d.evacuator)
	d.readEvacuations = client.ReadEvacuations
	d.watcher = fleetwatcher.New(fleetwatcher.Settings{Interval: listInterval, MaxGap: notificationTimeout, Relied: func() bool { return false }}, client, env.Clock, d.mustPoll, env.Log,
		func(*radishspoke.RoutingTable) {}, d.setInstances)
	conn, err := net.ListenPacket("udp", net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+sidecarPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	d.udpConn = conn
	d.relayer = relayer.New(relayer.Settings{Engine: s.Engine, Evacuated: d.evacuator}, d.engineClient, d, env.Clock, env.Log)
	d.registry, d.history = registrar.NewRegistry(env.Clock), registrar.NewHistory(env.Clock)
	d.registrar = registrar.New(registrar.Settings{}, d.registry, d.history, d.watcher,
		&streamTransport{process: s.Name, firstPort: s.FirstPort, conn: conn, client: d.engineClient, clock: env.Clock, log: env.Log}, env.Clock, env.Log)
	requests := mux.NewRouter()
	requests.Handle(relayer.Path, d.relayer)
	requests.HandleFunc(streamPath, d.serveStream)
	d.relayServer = &http.Server{
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+relayPort)), Handler: requests, ReadHeaderTimeout: headerTimeout,
		ErrorLog: slog.NewLogLogger(env.Log.Handler(), slog.LevelDebug), ConnState: d.relayConns.SetState,
	}
	d.budget = newBudget(s, relayer.Refusal(), env.Log)
	r := recorder.New()
	d.entryWatcher = callerwatcher.New(r)
	d.entryWatcher.Watch(d.relayServer)
	d.budget.Register(r)
	r.Gauge("targets_listed", func() float64 { return float64(len(d.watcher.Instances())) })
	r.Gauge("requests_running", func() float64 { return float64(d.relayer.Running()) })
	r.Gauge("streams_recorded", func() float64 { return float64(d.registry.Len()) })
	r.Gauge("orders_accepted", func() float64 { return float64(d.acceptedOrders.Load()) })
	registerLimits(r, d.throttler)
	registerEvacuations(r, d.evacuator)
	d.metricsServer = newMetricsServer(s.IP, metricsPort, r)
	return d, nil
}

// Avoids reports whether a target gets no relayed requests: it is avoided, or it is cold, as the
// permits of entries do not last while orders wait here. It implements relayer.Avoided.
func (d *FleetSidecar) Avoids(id string) bool {
	return d.avoider.Avoids(id) || d.settings.Bounds.ColdOvershoot > 0 && d.throttler.StatesCold(id)
}

// noCommonTime and noPeers are for the limits of targets at a sidecar, which sends requests
// that entries have permits for and draws none itself.
func noCommonTime() (time.Duration, bool) { return 0, false }

func noPeers() radishspoke.Peers { return radishspoke.Peers{Known: true} }

// Start opens the sidecar's listeners and starts its goroutines. It returns an
// error if a listener cannot be opened.
func (d *FleetSidecar) Start() error {
	if err := serveMetrics(d.metricsServer, d.env.Network, d.budget, d.tasks.Go); err != nil {
		return err
	}
	l, err := d.env.Network.Listen(d.relayServer.Addr)
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	if t, ok := l.(*net.TCPListener); ok {
		d.relayListener = newDrainListener(t)
		l = d.relayListener
	}
	l = d.budget.Protect(d.relayServer, l, budgeter.Port{Name: "relay", Share: budgeter.MainShare, Limits: peerLimits})
	d.tasks.Go(func() { _ = d.relayServer.Serve(l) }) // ends when the server is closed
	ctx, cancel := context.WithCancel(context.Background())
	d.stopTasks = cancel
	d.tasks.Go(func() { d.watcher.RunInstances(ctx) })
	d.tasks.Go(func() { d.planLoop(ctx) })
	d.tasks.Go(func() { d.entryWatcher.Run(ctx, ticker.New(d.env.Clock)) })
	d.tasks.Go(d.receiveNotifications)
	d.env.Log.Info("sidecar started", "process", d.settings.Name, "engine", d.settings.Engine)
	return nil
}

// Stop ends the sidecar. It passes its records of streams on, refuses new relayed
// requests, also those on connections that were not accepted yet, waits for those in
// progress, and aborts those that have not ended shortly before the end of the
// platform's grace period.
func (d *FleetSidecar) Stop() {
	deadline := d.env.Clock.Now() + d.settings.Bounds.Grace - stopMargin
	d.relayer.Stop()
	d.handOverStreams()
	time.Sleep(refusalTime)
	d.registrar.HandOver(d.settings.IP) // with the records that came meanwhile
	if d.relayListener != nil {
		if err := d.relayListener.Drain(); err != nil {
			d.env.Log.Warn("listener not drained", "error", err)
		}
	}
	for d.relayConns.Arriving() > 0 && d.env.Clock.Now() < deadline {
		time.Sleep(idlePoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline-d.env.Clock.Now())
	if err := d.relayServer.Shutdown(ctx); err != nil {
		d.env.Log.Warn("requests aborted at the end of the grace period", "requests", d.relayer.Running(), "error", err)
		_ = d.relayServer.Close()
	}
	cancel()
	d.stopTasks()
	_ = d.udpConn.Close()
	_ = d.metricsServer.Close()
	d.tasks.Wait()
	d.env.Log.Info("sidecar stopped", "process", d.settings.Name)
}

// receiveNotifications processes the datagrams of entries until the socket is
// closed.
func (d *FleetSidecar) receiveNotifications() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := d.udpConn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.env.Log.Debug("datagram not received", "error", err)
			continue
		}
		m := &wire.Gossip{}
		if err := proto.Unmarshal(buffer[:n], m); err != nil {
			d.env.Log.Debug("datagram not decoded", "error", err)
			continue
		}
		if len(m.GetStreams()) > 0 {
			d.receiveStreams(m.GetStreams())
			continue
		}
		mergeEvacuations(d.evacuator, m)
		if m.GetDigest() == 0 {
			continue // the entry has no current list of targets
		}
		now := d.env.Clock.Now()
		d.lastNotified.Store(int64(now))
		d.updateShares(m.GetPrefillShares())
		at := func(ageUs int64) time.Duration { return now - min(max(0, time.Duration(ageUs)*time.Microsecond), now) }
		read := at(m.GetDigestAgeUs())
		d.watcher.RecordServed(at(m.GetServedAgeUs()), read)
		d.watcher.CompareDigest(m.GetDigest(), read, decodeChanges(m.GetChanges()))
	}
}

// shareWeight is the weight of the newest notification in the wanted share. A
// change of roles takes engines out of service for seconds, so that a peak of one
// second must not cause one.
const shareWeight = 0.25

// updateShares merges the shares that an entry has computed.
func (d *FleetSidecar) updateShares(shares map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for group, s := range shares {
		if math.IsNaN(s) || s < 0 || s > 1 {
			continue
		}
		old, ok := d.prefillShares[group]
		if !ok {
			old = firstPrefillShare
		}
		d.prefillShares[group] = old + shareWeight*(s-old)
	}
}

// prefillShare returns the wanted share of prefill engines in a group.
func (d *FleetSidecar) prefillShare(group string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.prefillShares[group]; ok {
		return s
	}
	return firstPrefillShare
}

// mustPoll returns whether this sidecar has to read the list of targets each
// listInterval, because no entry notifies it of changes.
func (d *FleetSidecar) mustPoll() bool {
	return d.env.Clock.Now()-time.Duration(d.lastNotified.Load()) > notificationTimeout
}

func (d *FleetSidecar) setInstances(list []radishspoke.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = list
	d.avoider.Keep(list)
	d.evacuator.Keep(list)
	d.throttler.Keep(list)
	d.registrar.SetTargets(list)
}

// planLoop plans the role of the engine periodically, and orders the engine to
// take it, until ctx is done.
func (d *FleetSidecar) planLoop(ctx context.Context) {
	for ticker.Sleep(ctx, listInterval/2) {
		d.engineClient.CloseExpired()
		d.pollEvacuations(ctx)
		if err := d.applyPlannedRole(ctx); err != nil {
			d.env.Log.Warn("role not changed", "engine", d.settings.Engine, "error", err)
		}
	}
}

// applyPlannedRole orders the engine to take its planned role if it has another
// one. It gives no order during startupDelay, while the engine is not in the list
// of targets or its zone is evacuated, and while the engine is changing its role.
func (d *FleetSidecar) applyPlannedRole(ctx context.Context) error {
	d.mu.Lock()
	instances := d.instances
	d.mu.Unlock()
	var engines []radishspoke.Instance
	var own *radishspoke.Instance
	for _, i := range d.evacuator.Outside(instances) {
		if i.Role == "" {
			continue
		}
		if i.Address == d.settings.Engine {
			own = &i
		}
		engines = append(engines, i)
	}
	if own == nil {
		return nil
	}
	if d.env.Clock.Now()-d.started < startupDelay {
		return nil
	}
	want, ok := d.plannedRoles(inGroup(engines, own.Group), d.prefillShare(own.Group))[own.ID]
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := d.readReport(ctx)
	if err != nil {
		return err
	}
	if report.Role == want || report.Changing {
		return nil
	}
	return d.sendOrder(ctx, platform.RoleOrder{
		Role: want, Holder: d.settings.Name, Epoch: orderEpoch, After: report.Orders, Instance: own.ID,
	})
}

// plannedRoles returns the new roles of the engines that must change now, by
// instance ID. Deviations from the wanted share within prefillTolerance are
// corrected only after they have lasted for deviationDelay.
func (d *FleetSidecar) plannedRoles(engines []radishspoke.Instance, share float64) map[string]radishspoke.Role {
	now := d.env.Clock.Now()
	// When the whole system starts, the share is established without delay,
	// because there are no callers yet.
	if d.settings.First && !d.everDeviated {
		changes := planner.RoleChanges(engines, planner.Mix{PrefillShare: share})
		d.everDeviated = len(changes) > 0
		return changes
	}
	lasting := planner.RoleChanges(engines, planner.Mix{PrefillShare: share, Tolerance: lastingTolerance / float64(max(1, len(engines)))})
	if len(lasting) == 0 {
		d.deviatingSince = 0
		return nil
	}
	if d.deviatingSince == 0 {
		d.deviatingSince = now
	}
	if now-d.deviatingSince >= deviationDelay {
		return planner.Stagger(engines, lasting)
	}
	return planner.Stagger(engines, planner.RoleChanges(engines, planner.Mix{PrefillShare: share, Tolerance: prefillTolerance}))
}

func inGroup(list []radishspoke.Instance, group string) []radishspoke.Instance {
	var out []radishspoke.Instance
	for _, i := range list {
		if i.Group == group {
			out = append(out, i)
		}
	}
	return out
}

// readReport reads the state of the engine.
func (d *FleetSidecar) readReport(ctx context.Context) (platform.EngineReport, error) {
	status, data, err := d.callEngine(ctx, &httpclient.Call{Method: http.MethodGet, RequestURI: platform.ReportPath, Host: d.settings.Engine, Header: http.Header{}})
	if err != nil {
		return platform.EngineReport{}, fmt.Errorf("read engine's report: %w", err)
	}
	if status != http.StatusOK {
		return platform.EngineReport{}, fmt.Errorf("read engine's report: status %d", status)
	}
	return platform.DecodeReport(data)
}

var errOrderRejected = errors.New("engine did not accept the order")

// sendOrder sends an order to the engine. If no response arrives, the engine may
// still receive the order later. It then carries it out only if it has accepted
// no other order since the report on which the order is based.
func (d *FleetSidecar) sendOrder(ctx context.Context, o platform.RoleOrder) error {
	body, header, err := platform.EncodeOrder(o)
	if err != nil {
		return err
	}
	status, _, err := d.callEngine(ctx, &httpclient.Call{Method: http.MethodPost, RequestURI: platform.OrderPath, Host: d.settings.Engine, Header: header, Body: body})
	if err != nil {
		return fmt.Errorf("order engine: %w", err)
	}
	if status != http.StatusAccepted && status != http.StatusOK {
		return fmt.Errorf("%w: status %d", errOrderRejected, status)
	}
	d.acceptedOrders.Add(1)
	d.env.Log.Info("engine ordered", "engine", o.Instance, "role", o.Role, "after", o.After, "status", status)
	return nil
}

func (d *FleetSidecar) callEngine(ctx context.Context, c *httpclient.Call) (int, []byte, error) {
	resp, err := d.engineClient.Do(ctx, d.settings.Engine, c)
	if err != nil {
		return 0, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(resp, maxReportBytes))
	_ = resp.Close() // only the read matters
	if err != nil {
		return 0, nil, fmt.Errorf("read response: %w", err)
	}
	return resp.Status, data, nil
}
