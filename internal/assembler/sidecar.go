package assembler

import (
	"context"
	"fmt"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/coordination/elector"
	"radishspoke/coordination/executor"
	"radishspoke/coordination/fencer"
	"radishspoke/coordination/meter"
	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
	"radishspoke/state/parser"
	"radishspoke/state/tracker"
	"radishspoke/transport/listener"
	"radishspoke/transport/targetclient"
	"radishspoke/transport/ticker"
)

// Sidecar is the process that runs next to one target. All requests to the target
// pass through it. Create one with NewSidecar.
type Sidecar struct {
	*process
	target      radishspoke.Target
	engine      *targetclient.Engine
	service     *targetclient.Service
	executor    *executor.Executor
	usageBackup *meter.Backup
	fencer      *fencer.Fencer // nil if the target is a service

	mu         sync.Mutex
	engineLoad radishspoke.Load // the last load that the engine reported
}

const (
	loadInterval     = 200 * time.Millisecond // between reads of the load of a busy engine
	idleReadFactor   = 5                      // number of intervals between reads of an idle engine
	loadTimeout      = time.Second
	slowPollInterval = time.Minute // mean time between reads of the configuration row
	startRetry       = time.Second // between attempts to read the configuration or the planner's epoch
)

// NewSidecar starts a sidecar. It blocks until a configuration that has the target
// has been read from the platform or received from an entry, or until ctx is done.
// It returns an error if ctx is done first, if the settings name no target or if
// a listener cannot be opened.
func NewSidecar(ctx context.Context, s parser.Settings, env Environment) (*Sidecar, error) {
	if s.Sidecar.Target == "" {
		return nil, fmt.Errorf("setting [sidecar] target: value is missing")
	}
	c := &Sidecar{process: newProcess(s, env)}
	// Until the executor exists, entries can only send the configuration.
	c.server = listener.New(encoder.Methods{pushMethod: encoder.Unary(c.handlePush)}, s.Sessions.ProbeTimeout, c.answerEarlyProbe, c.log)
	if err := c.awaitTarget(ctx); err != nil {
		c.close()
		return nil, err
	}
	c.build()
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// awaitTarget reads the configuration repeatedly until it has the sidecar's
// target or ctx is done. Meanwhile it accepts configurations from entries.
func (c *Sidecar) awaitTarget(ctx context.Context) error {
	l, err := c.env.Network.Listen(c.settings.Sessions.Address)
	if err != nil {
		return err
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = c.server.Serve(c.ctx, l)
	}()
	defer func() {
		_ = l.Close()
		c.server.Close()
		<-served
	}()
	for {
		err := c.watcher.Poll(ctx)
		if v := c.watcher.Current(); v != nil {
			t, ok := v.Inventory.Target(c.settings.Sidecar.Target)
			if ok {
				c.target = t
				return nil
			}
			err = fmt.Errorf("target %q is not in configuration %d", c.settings.Sidecar.Target, v.Version)
		}
		c.log.Warn("target is not known yet", "error", err)
		if !ticker.Sleep(ctx, startRetry) {
			return fmt.Errorf("wait for target %s: %w", c.settings.Sidecar.Target, ctx.Err())
		}
	}
}

// build creates the components that depend on the target.
func (c *Sidecar) build() {
	var engine radishspoke.Engine
	var service radishspoke.Service
	if c.target.Kind == radishspoke.EngineTarget {
		c.engine = targetclient.NewEngine(c.env.Network, c.target.Address)
		engine = c.engine
	} else {
		c.service = targetclient.NewService(c.env.Network, c.target.Address)
		service = c.service
	}
	c.usageBackup = meter.NewBackup(c.store, c.settings.Process.Name, c.usageWindow)
	settings := executor.Settings{
		Target: c.target.Name, Incarnation: c.incarnation,
		AnswerKeep: c.settings.Sidecar.AnswerKeep, RequestKeep: c.settings.Sidecar.RequestKeep,
		Pace: paceOf(c.settings.Sidecar.Pace),
	}
	c.executor = executor.New(settings, engine, service, c.usageBackup.Add, c.currentLoad, c.timers, c.log)
	methods := c.executor.Methods()
	if engine != nil {
		c.fencer = fencer.New(engine, c.executor, c.log)
		methods[orderMethod] = encoder.Unary(c.handleOrder)
	}
	methods[pushMethod] = encoder.Unary(c.handlePush)
	methods[fetchMethod] = encoder.Unary(c.handleFetch)
	c.server = listener.New(methods, c.settings.Sessions.ProbeTimeout, c.answerProbe, c.log)
}

// paceOf converts the pace in the settings to that of executor.Settings. Pacing is
// disabled by zero in the former and by a negative value in the latter.
func paceOf(d time.Duration) time.Duration {
	if d == 0 {
		return -1
	}
	return d
}

func (c *Sidecar) start() error {
	if err := c.serveSessions(); err != nil {
		return err
	}
	if err := c.serveOperators(func() bool { return true }, func() any { return c.Status() }); err != nil {
		return err
	}
	c.recorder.Gauge("requests_running", func() float64 { n, _ := c.executor.Running(); return float64(n) })
	c.run(func(ctx context.Context) { c.announceLoop(ctx, c.member(tracker.SidecarKind, false)) })
	c.run(c.pollLoop)
	c.runEvery(meter.FlushInterval, "usage not written", c.writeOrphanedUsage)
	if c.engine != nil {
		c.run(c.readPlannerEpoch)
		c.run(c.fencer.Run)
		c.run(c.loadLoop)
	}
	return nil
}

// readPlannerEpoch reads the epoch of the planner from the table, retrying until
// it succeeds or ctx is done. Until then the sidecar accepts no orders.
func (c *Sidecar) readPlannerEpoch(ctx context.Context) {
	for {
		epoch, err := elector.ReadEpoch(ctx, c.store, plannerLease)
		if err == nil {
			c.fencer.ObserveEpoch(epoch)
			return
		}
		c.log.Warn("epoch of the planner not read", "error", err)
		if !ticker.Sleep(ctx, startRetry) {
			return
		}
	}
}

// handleOrder submits an order of the planner to the engine. The reply states
// the last order that was applied, and the reason if the order is refused.
func (c *Sidecar) handleOrder(_ context.Context, q *wire.Order) (*wire.OrderReply, error) {
	err := c.fencer.Submit(radishspoke.Order{
		Epoch: q.Epoch, Sequence: q.Sequence, Role: radishspoke.Role(q.Role), Model: q.Model, Version: q.Version, Adapters: q.Adapters,
	})
	applied, _ := c.fencer.Applied()
	r := &wire.OrderReply{Accepted: err == nil, Epoch: applied.Epoch, Sequence: applied.Sequence}
	if err != nil {
		r.Reason = err.Error()
	}
	return r, nil
}

// writeOrphanedUsage writes the usage that entries had not recorded when they
// ended.
func (c *Sidecar) writeOrphanedUsage(ctx context.Context) error {
	if err := c.markRemovedEntries(ctx); err != nil {
		return err
	}
	return c.usageBackup.Flush(ctx)
}

// entrySilence is the time without contact after which the platform's list is
// checked for an entry.
const entrySilence = 30 * time.Second

// markRemovedEntries looks up entries without recent contact in the platform's
// list of members, and marks those that are not listed as ended.
func (c *Sidecar) markRemovedEntries(ctx context.Context) error {
	suspects := c.usageBackup.SilentEntries(time.Now(), entrySilence)
	if len(suspects) == 0 {
		return nil
	}
	members, err := c.store.Members(ctx)
	if err != nil {
		return fmt.Errorf("list members: %w", err)
	}
	live := map[string]bool{}
	for _, m := range members {
		live[m.Name] = true
	}
	for _, n := range suspects {
		if !live[n] {
			c.usageBackup.EndEntry(n)
		}
	}
	return nil
}

// pollLoop reads the configuration at long, randomized intervals until ctx is
// done, in case no entry sends it.
func (c *Sidecar) pollLoop(ctx context.Context) {
	random := c.random(pollStream)
	for {
		if !ticker.Sleep(ctx, slowPollInterval/2+time.Duration(random.Int64N(int64(slowPollInterval)))) {
			return
		}
		if err := c.watcher.Poll(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn("configuration not read", "error", err)
		}
	}
}

// loadLoop reads the state and the load of the engine periodically until ctx is
// done. An idle engine is read less often.
func (c *Sidecar) loadLoop(ctx context.Context) {
	ticks, stop := c.timers.Every(loadInterval)
	defer stop()
	for i := 0; ; i++ {
		if n, _ := c.executor.Running(); n > 0 || i%idleReadFactor == 0 {
			if err := c.readEngine(ctx); err != nil && ctx.Err() == nil {
				c.log.Debug("state of the engine not read", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// readEngine reads the state and the load of the engine. An engine that carries
// out an order gets no requests, even if an earlier sidecar gave the order.
func (c *Sidecar) readEngine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	state, err := c.engine.State(ctx)
	if err != nil {
		return err
	}
	c.executor.Drain(executor.Changing, state.Changing)
	l, err := c.engine.Load(ctx)
	if err != nil {
		return err
	}
	l.Role, l.Model, l.Version = state.Role, state.Model, state.Version
	c.mu.Lock()
	c.engineLoad = l
	c.mu.Unlock()
	return nil
}

// currentLoad returns the load of the target. The engine's own report lags, so
// the number of running requests is taken from the sidecar, through which every
// request passes.
func (c *Sidecar) currentLoad() *wire.Load {
	c.mu.Lock()
	r := c.engineLoad
	c.mu.Unlock()
	n, draining := c.executor.Running()
	l := &wire.Load{
		Target: c.target.Name, Running: uint32(n), PrefillTokens: uint32(r.PrefillTokens),
		FreeBlocks: uint32(r.FreeBlocks), TotalBlocks: uint32(r.TotalBlocks),
		Role: string(r.Role), Model: r.Model, Version: r.Version, Draining: draining,
	}
	if c.fencer != nil {
		o, changing := c.fencer.Applied()
		l.Epoch, l.Sequence, l.Draining = o.Epoch, o.Sequence, l.Draining || changing
	}
	return l
}

// answerEarlyProbe returns the reply to a probe that arrives before the target
// is known. It states no load.
func (c *Sidecar) answerEarlyProbe(*wire.Probe) *wire.ProbeReply {
	return &wire.ProbeReply{Process: c.settings.Process.Name, ConfigVersion: c.watcher.Version(), Incarnation: c.incarnation}
}

func (c *Sidecar) answerProbe(q *wire.Probe) *wire.ProbeReply {
	c.usageBackup.Acknowledge(q.Process, q.Incarnation, q.UsageThrough)
	return &wire.ProbeReply{
		Process: c.settings.Process.Name, ConfigVersion: c.watcher.Version(), FreshAgeMs: ageMillis(c.watcher.Age()),
		Incarnation: c.incarnation, Load: c.currentLoad(),
	}
}

// SidecarStatus is the status of a sidecar, as it is shown to operators.
type SidecarStatus struct {
	Name          string           `json:"name"`
	Kind          string           `json:"kind"`
	Zone          string           `json:"zone"`
	Target        string           `json:"target"`
	ConfigVersion int64            `json:"config_version"`
	Load          radishspoke.Load `json:"load"`
}

// Status returns the current status of the sidecar.
func (c *Sidecar) Status() SidecarStatus {
	n, draining := c.executor.Running()
	c.mu.Lock()
	l := c.engineLoad
	c.mu.Unlock()
	l.Target, l.Running, l.Draining = c.target.Name, n, draining
	return SidecarStatus{
		Name: c.settings.Process.Name, Kind: tracker.SidecarKind, Zone: c.settings.Process.Zone,
		Target: c.target.Name, ConfigVersion: c.watcher.Version(), Load: l,
	}
}

// Stop ends the sidecar after its requests have ended, or when ctx is done. It
// accepts no new requests meanwhile. At the end it writes the usage that entries
// left unrecorded, and removes itself from the list of members.
func (c *Sidecar) Stop(ctx context.Context) {
	c.executor.Drain(executor.Leaving, true)
	c.log.Info("sidecar is draining")
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	_ = c.store.Announce(leaveCtx, c.member(tracker.SidecarKind, true))
	cancel()
	select {
	case <-c.executor.Idle():
	case <-ctx.Done():
		n, _ := c.executor.Running()
		c.log.Warn("sidecar stops with requests running", "requests", n)
	}
	leaveCtx, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	if err := c.usageBackup.Flush(leaveCtx); err != nil {
		c.log.Warn("usage not written", "error", err)
	}
	_ = c.store.Withdraw(leaveCtx, c.settings.Process.Name)
	cancel()
	c.Close()
}

const leaveTimeout = 2 * time.Second

// Close ends the sidecar immediately and aborts the requests in progress.
func (c *Sidecar) Close() {
	if c.executor != nil {
		c.executor.Stop()
	}
	c.close()
	if c.executor != nil {
		c.executor.Close()
	}
	if c.engine != nil {
		c.engine.Close()
	}
	if c.service != nil {
		c.service.Close()
	}
}
