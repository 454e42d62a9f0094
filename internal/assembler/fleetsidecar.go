package assembler

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/planner"
	"radishspoke/platform"
	"radishspoke/state/follower"
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
	stop     context.CancelFunc
	tasks    sync.WaitGroup

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

	// patienceTime is how long a small difference must last before an engine
	// changes: crashed engines are back by then.
	patienceTime = 4 * time.Second

	// startTime is the time after the first start of all in which roles are
	// brought to their share exactly: callers come later.
	startTime = 9 * time.Second

	mostReport = 1 << 20 // bytes
)

// NewFleetSidecar returns a sidecar that is not running yet.
func NewFleetSidecar(s platform.Settings, env Environment) *FleetSidecar {
	d := &FleetSidecar{settings: s, env: env, started: env.Clock.Now(), caller: caller.New(caller.Settings{}, env.Network, env.Clock)}
	client := platform.New(s, env.Network, env.Clock)
	d.follower = follower.New(follower.Settings{Interval: sidecarInterval}, client, env.Clock, env.Log,
		func(*radishspoke.RoutingTable) {}, d.list)
	return d
}

// Start begins to run.
func (d *FleetSidecar) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	d.tasks.Go(func() { d.follower.RunInstances(ctx) })
	d.tasks.Go(func() { d.plan(ctx) })
	d.env.Log.Info("sidecar started", "process", d.settings.Name, "engine", d.settings.Engine)
}

// Stop ends the sidecar.
func (d *FleetSidecar) Stop() {
	d.stop()
	d.tasks.Wait()
	d.env.Log.Info("sidecar stopped", "process", d.settings.Name)
}

func (d *FleetSidecar) list(list []radishspoke.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = list
}

// plan brings the engine to its role until ctx ends.
func (d *FleetSidecar) plan(ctx context.Context) {
	for ticker.Sleep(ctx, sidecarInterval/2) {
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
	if now-d.deviant >= patienceTime || d.settings.First && now-d.started < startTime {
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
