package assembler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/coordination/planner"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
	"radishspoke/protocol/wire"
	"radishspoke/state/follower"
	"radishspoke/state/recorder"
	"radishspoke/transport/caller"
	"radishspoke/transport/ticker"
)

// FleetSidecar is the process beside an engine on the users' platform. It
// alone gives the engine orders. Make it with NewFleetSidecar.
type FleetSidecar struct {
	settings platform.Settings
	env      Environment
	caller   *caller.Caller
	follower *follower.Follower
	started  time.Duration
	heard    atomic.Int64 // when the last datagram came, on the clock, in ns
	conn     net.PacketConn
	metrics  *http.Server
	relayer  *relayer.Relayer
	relays   *http.Server
	orders   atomic.Int64 // accepted by the engine
	stop     context.CancelFunc
	tasks    sync.WaitGroup

	settled bool          // roles have been planned once
	deviant time.Duration // since when the roles differ from their share; 0 if they don't

	mu     sync.Mutex
	listed []radishspoke.Instance
}

const (
	// sidecarInterval is the time between two reads of the list of targets.
	sidecarInterval = 2 * time.Second

	// engineTimeout bounds a call to the engine beside this process.
	engineTimeout = time.Second

	// orderEpoch is the fencing number of a sidecar's orders. No other
	// process orders its engine, so it never changes.
	orderEpoch = 1

	// readingShare is the part of the engines that read prompts, readingBand
	// by how much it may differ while callers are served.
	readingShare = 0.67
	readingBand  = 0.12

	// gatherTime is the time after its start in which a sidecar gives no
	// orders: engines and entries that start at the same time are listed by
	// then, so that all sidecars plan from the same list.
	gatherTime = 4500 * time.Millisecond

	// patienceTime is how long a small difference must last before an engine
	// changes: crashed engines are back by then, and the roles of those that
	// have been ordered are listed.
	patienceTime = 6 * time.Second

	// silentTime is how long after an entry's last datagram a sidecar relies
	// on them; entries send one each second.
	silentTime = 3500 * time.Millisecond

	// partTime is how long a stopping sidecar refuses orders before it closes
	// entries' connections; they call the engine themselves from then on.
	partTime = 300 * time.Millisecond

	mostReport   = 1 << 20 // bytes
	mostDatagram = 4 << 10 // bytes
)

// NewFleetSidecar returns a sidecar that is not running yet. Metrics is the port
// for metrics, or 0.
func NewFleetSidecar(s platform.Settings, env Environment, metrics int) (*FleetSidecar, error) {
	d := &FleetSidecar{settings: s, env: env, started: env.Clock.Now(), caller: caller.New(caller.Settings{}, env.Network, env.Clock)}
	client := platform.New(s, env.Network, env.Clock)
	d.follower = follower.New(follower.Settings{Interval: sidecarInterval}, client, env.Clock, d.watch, env.Log,
		func(*radishspoke.RoutingTable) {}, d.list)
	conn, err := net.ListenPacket("udp", net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+sidecarPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	d.conn = conn
	d.relayer = relayer.New(relayer.Settings{Engine: s.Engine}, d.caller, env.Clock, env.Log)
	d.relays = &http.Server{
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+relayPort)), Handler: d.relayer, ReadHeaderTimeout: headerTime,
		IdleTimeout: callerIdle, ErrorLog: slog.NewLogLogger(env.Log.Handler(), slog.LevelDebug),
	}
	r := recorder.New()
	r.Gauge("targets_listed", func() float64 { return float64(len(d.follower.Instances())) })
	r.Gauge("requests_running", func() float64 { return float64(d.relayer.Running()) })
	r.Gauge("orders_accepted", func() float64 { return float64(d.orders.Load()) })
	d.metrics = newMetricsServer(s.IP, metrics, r)
	return d, nil
}

// Start begins to run.
func (d *FleetSidecar) Start() error {
	if err := serveMetrics(d.metrics, d.env.Network, d.tasks.Go); err != nil {
		return err
	}
	l, err := d.env.Network.Listen(d.relays.Addr)
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	d.tasks.Go(func() { _ = d.relays.Serve(l) }) // ends when the server is closed
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	d.tasks.Go(func() { d.follower.RunInstances(ctx) })
	d.tasks.Go(func() { d.plan(ctx) })
	d.tasks.Go(d.listen)
	d.env.Log.Info("sidecar started", "process", d.settings.Name, "engine", d.settings.Engine)
	return nil
}

// Stop ends the sidecar.
func (d *FleetSidecar) Stop() {
	d.relayer.Stop()
	time.Sleep(partTime)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Bounds.Grace-partTime-stopMargin)
	if err := d.relays.Shutdown(ctx); err != nil {
		d.env.Log.Warn("requests cut at the end of the grace", "requests", d.relayer.Running(), "error", err)
		_ = d.relays.Close()
	}
	cancel()
	d.stop()
	_ = d.conn.Close()
	_ = d.metrics.Close()
	d.tasks.Wait()
	d.env.Log.Info("sidecar stopped", "process", d.settings.Name)
}

// listen takes entries' datagrams until the connection is closed.
func (d *FleetSidecar) listen() {
	buffer := make([]byte, mostDatagram)
	for {
		n, _, err := d.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.env.Log.Debug("datagram not received", "error", err)
			continue
		}
		m := &wire.Gossip{}
		if err := proto.Unmarshal(buffer[:n], m); err != nil {
			d.env.Log.Debug("datagram unreadable", "error", err)
			continue
		}
		now := d.env.Clock.Now()
		d.heard.Store(int64(now))
		d.follower.Told(m.GetDigest(), now)
	}
}

// watch tells whether this sidecar has to read the list of targets regularly,
// as no entry tells it of changes.
func (d *FleetSidecar) watch() bool {
	return d.env.Clock.Now()-time.Duration(d.heard.Load()) > silentTime
}

func (d *FleetSidecar) list(list []radishspoke.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = list
}

// plan brings the engine to its role until ctx ends.
func (d *FleetSidecar) plan(ctx context.Context) {
	for ticker.Sleep(ctx, sidecarInterval/2) {
		d.caller.Sweep()
		if err := d.step(ctx); err != nil {
			d.env.Log.Warn("role not changed", "engine", d.settings.Engine, "error", err)
		}
	}
}

// step orders the engine if its role is not the planned one.
func (d *FleetSidecar) step(ctx context.Context) error {
	d.mu.Lock()
	listed := d.listed
	d.mu.Unlock()
	var engines []radishspoke.Instance
	var own *radishspoke.Instance
	for _, i := range listed {
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
	if d.env.Clock.Now()-d.started < gatherTime {
		return nil
	}
	want, ok := d.planned(ofGroup(engines, own.Group))[own.ID]
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	now, err := d.report(ctx)
	if err != nil {
		return err
	}
	if now.Role == want || now.Changing {
		return nil
	}
	return d.order(ctx, platform.RoleOrder{
		Role: want, Holder: d.settings.Name, Epoch: orderEpoch, After: now.Orders, Instance: own.ID,
	})
}

// planned returns the engines that must change now. Small differences from the
// share are mended only once they have lasted.
func (d *FleetSidecar) planned(engines []radishspoke.Instance) map[string]radishspoke.Role {
	now := d.env.Clock.Now()
	exact := planner.Roles(engines, planner.Mix{Reading: readingShare})
	if len(exact) == 0 {
		d.deviant = 0
		return nil
	}
	if d.deviant == 0 {
		d.deviant = now
	}
	// When the whole system starts, roles are brought to their share at once:
	// callers come later.
	starting := d.settings.First && !d.settled
	d.settled = true
	if starting || now-d.deviant >= patienceTime {
		return exact
	}
	return planner.Roles(engines, planner.Mix{Reading: readingShare, Band: readingBand})
}

func ofGroup(list []radishspoke.Instance, group string) []radishspoke.Instance {
	var out []radishspoke.Instance
	for _, i := range list {
		if i.Group == group {
			out = append(out, i)
		}
	}
	return out
}

// report asks the engine for its state.
func (d *FleetSidecar) report(ctx context.Context) (platform.EngineReport, error) {
	status, data, err := d.call(ctx, &caller.Call{Method: http.MethodGet, Target: platform.ReportPath, Host: d.settings.Engine, Header: http.Header{}})
	if err != nil {
		return platform.EngineReport{}, fmt.Errorf("read engine's report: %w", err)
	}
	if status != http.StatusOK {
		return platform.EngineReport{}, fmt.Errorf("read engine's report: status %d", status)
	}
	return platform.DecodeReport(data)
}

var errOrder = errors.New("order not accepted")

// order gives the engine an order. One without an answer may be carried out
// later; it is then void, unless no other was accepted meanwhile.
func (d *FleetSidecar) order(ctx context.Context, o platform.RoleOrder) error {
	body, header, err := platform.EncodeOrder(o)
	if err != nil {
		return err
	}
	status, _, err := d.call(ctx, &caller.Call{Method: http.MethodPost, Target: platform.OrderPath, Host: d.settings.Engine, Header: header, Body: body})
	if err != nil {
		return fmt.Errorf("order engine: %w", err)
	}
	if status != http.StatusAccepted && status != http.StatusOK {
		return fmt.Errorf("%w: status %d", errOrder, status)
	}
	d.orders.Add(1)
	d.env.Log.Info("engine ordered", "engine", o.Instance, "role", o.Role, "after", o.After, "status", status)
	return nil
}

func (d *FleetSidecar) call(ctx context.Context, c *caller.Call) (int, []byte, error) {
	a, err := d.caller.Do(ctx, d.settings.Engine, c)
	if err != nil {
		return 0, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(a, mostReport))
	_ = a.Close() // what was read counts
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	return a.Status, data, nil
}
