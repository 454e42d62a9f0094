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
	"radishspoke/transport/adapter"
	"radishspoke/transport/listener"
	"radishspoke/transport/ticker"
)

// Sidecar is the process beside one target. Make it with NewSidecar.
type Sidecar struct {
	*process
	target   radishspoke.Target
	engine   *adapter.Engine
	service  *adapter.Service
	executor *executor.Executor
	witness  *meter.Witness
	fencer   *fencer.Fencer // nil beside a service

	mu       sync.Mutex
	reported radishspoke.Load // the target's own last report
}

const (
	loadInterval     = 200 * time.Millisecond // between reads of the target's load
	idleReads        = 5                      // intervals between reads of an idle target
	loadTimeout      = time.Second
	slowPollInterval = time.Minute // of a sidecar that entries keep up to date
	firstPollRetry   = time.Second
)

// NewSidecar starts a sidecar. It waits until it knows its target from the
// configuration, which the platform or an entry brings, or until ctx ends.
func NewSidecar(ctx context.Context, s parser.Settings, env Environment) (*Sidecar, error) {
	if s.Sidecar.Target == "" {
		return nil, fmt.Errorf("setting [sidecar] target: value is missing")
	}
	c := &Sidecar{process: newProcess(s, env)}
	// Until the executor is there, only configuration is served.
	c.server = listener.New(encoder.Methods{pushMethod: encoder.Unary(c.push)}, s.Sessions.ProbeTimeout, c.answerEarly, c.log)
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

// awaitTarget reads the configuration until it has the sidecar's target. It
// accepts configuration from entries meanwhile.
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
		c.log.Warn("target not known yet", "error", err)
		if !ticker.Sleep(ctx, firstPollRetry) {
			return fmt.Errorf("wait for target %s: %w", c.settings.Sidecar.Target, ctx.Err())
		}
	}
}

// build makes the parts that depend on the target.
func (c *Sidecar) build() {
	var e radishspoke.Engine
	var v radishspoke.Service
	if c.target.Kind == radishspoke.EngineTarget {
		c.engine = adapter.NewEngine(c.env.Network, c.target.Address)
		e = c.engine
	} else {
		c.service = adapter.NewService(c.env.Network, c.target.Address)
		v = c.service
	}
	c.witness = meter.NewWitness(c.store, c.settings.Process.Name, c.usageWindow)
	s := executor.Settings{
		Target: c.target.Name, Incarnation: c.incarnation,
		AnswerKeep: c.settings.Sidecar.AnswerKeep, RequestKeep: c.settings.Sidecar.RequestKeep,
		Pace: paceOf(c.settings.Sidecar.Pace),
	}
	c.executor = executor.New(s, e, v, c.witness.Saw, c.load, c.timers, c.log)
	m := c.executor.Methods()
	if e != nil {
		c.fencer = fencer.New(e, c.executor, c.log)
		m[orderMethod] = encoder.Unary(c.order)
	}
	m[pushMethod] = encoder.Unary(c.push)
	m[fetchMethod] = encoder.Unary(c.fetch)
	c.server = listener.New(m, c.settings.Sessions.ProbeTimeout, c.answer, c.log)
}

// paceOf turns a setting of zero, no pace, into the executor's form.
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
	c.run(func(ctx context.Context) { c.announceLoop(ctx, c.announce(tracker.SidecarKind, false)) })
	c.run(c.pollLoop)
	c.every(meter.FlushInterval, "usage not written", c.writeOrphans)
	if c.engine != nil {
		c.run(c.learnEpoch)
		c.run(c.fencer.Run)
		c.run(c.loadLoop)
	}
	return nil
}

// learnEpoch reads the planner's epoch from the table, without which no order
// is taken.
func (c *Sidecar) learnEpoch(ctx context.Context) {
	for {
		epoch, err := elector.Epoch(ctx, c.store, plannerLease)
		if err == nil {
			c.fencer.Learn(epoch)
			return
		}
		c.log.Warn("planner's epoch not read", "error", err)
		if !ticker.Sleep(ctx, firstPollRetry) {
			return
		}
	}
}

// order takes a planner's order for the engine.
func (c *Sidecar) order(_ context.Context, q *wire.Order) (*wire.OrderReply, error) {
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

// writeOrphans writes the usage that entries which have ended left unrecorded.
func (c *Sidecar) writeOrphans(ctx context.Context) error {
	if err := c.findGone(ctx); err != nil {
		return err
	}
	return c.witness.Flush(ctx)
}

// entrySilence is how long an entry is silent before the platform is asked
// whether it still is.
const entrySilence = 30 * time.Second

// findGone looks silent entries up on the platform's list.
func (c *Sidecar) findGone(ctx context.Context) error {
	suspects := c.witness.Suspects(time.Now(), entrySilence)
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
			c.witness.Gone(n)
		}
	}
	return nil
}

// pollLoop reads the configuration now and then, should no entry bring it.
func (c *Sidecar) pollLoop(ctx context.Context) {
	random := c.random(pollDuty)
	for {
		if !ticker.Sleep(ctx, slowPollInterval/2+time.Duration(random.Int64N(int64(slowPollInterval)))) {
			return
		}
		if err := c.watcher.Poll(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn("configuration not read", "error", err)
		}
	}
}

// loadLoop reads what the engine says of itself. While it carries out an
// order, be it one that an earlier sidecar gave, it gets no requests.
func (c *Sidecar) loadLoop(ctx context.Context) {
	ticks, stop := c.timers.Every(loadInterval)
	defer stop()
	for i := 0; ; i++ {
		if n, _ := c.executor.Running(); n > 0 || i%idleReads == 0 {
			if err := c.readEngine(ctx); err != nil && ctx.Err() == nil {
				c.log.Debug("engine not read", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

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
	c.reported = l
	c.mu.Unlock()
	return nil
}

// load joins the engine's report, which lags, with what the sidecar knows at
// this moment: every request to the target runs through it.
func (c *Sidecar) load() *wire.Load {
	c.mu.Lock()
	r := c.reported
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

func (c *Sidecar) answerEarly(*wire.Probe) *wire.ProbeReply {
	return &wire.ProbeReply{Process: c.settings.Process.Name, ConfigVersion: c.watcher.Version(), Incarnation: c.incarnation}
}

func (c *Sidecar) answer(q *wire.Probe) *wire.ProbeReply {
	c.witness.Heard(q.Process, q.Incarnation, q.UsageThrough)
	return &wire.ProbeReply{
		Process: c.settings.Process.Name, ConfigVersion: c.watcher.Version(), FreshAgeMs: ageMillis(c.watcher.Age()),
		Incarnation: c.incarnation, Load: c.load(),
	}
}

// SidecarStatus is what a sidecar says of itself to operators.
type SidecarStatus struct {
	Name          string           `json:"name"`
	Kind          string           `json:"kind"`
	Zone          string           `json:"zone"`
	Target        string           `json:"target"`
	ConfigVersion int64            `json:"config_version"`
	Load          radishspoke.Load `json:"load"`
}

// Status returns the sidecar's status.
func (c *Sidecar) Status() SidecarStatus {
	n, draining := c.executor.Running()
	c.mu.Lock()
	l := c.reported
	c.mu.Unlock()
	l.Target, l.Running, l.Draining = c.target.Name, n, draining
	return SidecarStatus{
		Name: c.settings.Process.Name, Kind: tracker.SidecarKind, Zone: c.settings.Process.Zone,
		Target: c.target.Name, ConfigVersion: c.watcher.Version(), Load: l,
	}
}

// Stop ends the sidecar once its requests have ended, or when ctx does.
func (c *Sidecar) Stop(ctx context.Context) {
	c.executor.Drain(executor.Leaving, true)
	c.log.Info("sidecar drains")
	q, cancel := context.WithTimeout(ctx, leaveTimeout)
	_ = c.store.Announce(q, c.announce(tracker.SidecarKind, true))
	cancel()
	select {
	case <-c.executor.Idle():
	case <-ctx.Done():
		n, _ := c.executor.Running()
		c.log.Warn("sidecar stops with requests running", "requests", n)
	}
	q, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	if err := c.witness.Flush(q); err != nil {
		c.log.Warn("usage not written", "error", err)
	}
	_ = c.store.Withdraw(q, c.settings.Process.Name)
	cancel()
	c.Close()
}

const leaveTimeout = 2 * time.Second

// Close ends the sidecar at once.
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
