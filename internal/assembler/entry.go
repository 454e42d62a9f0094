package assembler

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/authenticator"
	"radishspoke/coordination/claimer"
	"radishspoke/coordination/dispatcher"
	"radishspoke/coordination/elector"
	"radishspoke/coordination/limiter"
	"radishspoke/coordination/meter"
	"radishspoke/coordination/reporter"
	"radishspoke/coordination/router"
	"radishspoke/coordination/voter"
	"radishspoke/coordination/voucher"
	"radishspoke/protocol/encoder"
	"radishspoke/state/parser"
	"radishspoke/state/tracker"
	"radishspoke/transport/connector"
	"radishspoke/transport/gateway"
	"radishspoke/transport/listener"
)

// Entry is the process that callers reach. Make it with NewEntry.
type Entry struct {
	*process
	pool       *connector.Pool
	elector    *elector.Elector
	voter      *voter.Voter
	owner      *limiter.Owner
	limiter    *limiter.Limiter
	meter      *meter.Meter
	reporter   *reporter.Reporter
	auth       *authenticator.Authenticator
	voucher    *voucher.Voucher
	dispatcher *dispatcher.Dispatcher
	gateway    *gateway.Gateway
	callers    *http.Server
	leaving    atomic.Bool

	mu       sync.Mutex
	teams    map[string]radishspoke.Team
	sidecars map[string]int64 // configuration version by sidecar address
	peers    map[string]string
}

const (
	leastPollInterval = time.Second // between reads of the configuration's row
	pollRate          = 20          // reads of that row per second, by all entries
	gossipPeers       = 2           // entries that each entry keeps a session to
	maxSessions       = 48          // sidecars that an entry keeps a session to
)

// NewEntry starts an entry.
func NewEntry(s parser.Settings, env Environment) (*Entry, error) {
	e := &Entry{
		process: newProcess(s, env), teams: map[string]radishspoke.Team{},
		sidecars: map[string]int64{}, peers: map[string]string{},
	}
	e.build()
	if err := e.start(); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Entry) build() {
	s := e.settings
	e.voucher = voucher.New(s.Process.Name, e.timers)
	e.auth = authenticator.New(func() bool { return e.voucher.Standing(e.watcher.Version(), e.watcher.Age()) })
	e.pool = connector.New(e.env.Network, e.sessionSettings(), e.probe, e.observe)
	e.elector = elector.New(elector.Settings{Name: s.Process.Name, Address: s.Sessions.Address}, e.store, e.timers, e.wantedLeases, e.log)
	e.voter = voter.New(voter.Settings{Name: s.Process.Name, Rights: shardNames()}, e.timers, e.askVote, rankNames, e.random(voteDuty), e.log)
	e.owner = limiter.NewOwner(e.timers, e.tenure, e.team)
	e.meter = meter.New(e.store, s.Process.Name, e.incarnation, e.usageWindow)
	e.reporter = reporter.New(e.store, s.Process.Name, e.reporterTenure, e.usageWindow)
	e.limiter = limiter.New(s.Process.Name, e.timers, e.askBudget)
	e.dispatcher = dispatcher.New(dispatcher.Settings{Name: s.Process.Name, Incarnation: e.incarnation, Meter: e.count, Router: router.Settings{Zone: s.Process.Zone}},
		e.pool, e.limiter, e.timers, e.auth.Valid, claimer.New(e.store), e.random(routeDuty), e.log)
	e.gateway = gateway.New(gateway.Settings{MaxBody: int64(s.Callers.MaxBody), BodyTimeout: s.Callers.BodyTimeout},
		e.auth, e.dispatch, e.log)
	e.server = listener.New(encoder.Methods{
		fetchMethod:  encoder.Unary(e.fetch),
		pushMethod:   encoder.Unary(e.push),
		budgetMethod: encoder.Unary(e.handleBudget),
		voteMethod:   encoder.Unary(e.handleVote),
	}, s.Sessions.ProbeTimeout, e.answer, e.log)
	e.watcher.Subscribe(e.configure)
}

func (e *Entry) start() error {
	if err := e.serveSessions(); err != nil {
		return err
	}
	if err := e.serveOperators(e.ready, func() any { return e.Status() }); err != nil {
		return err
	}
	c := e.settings.Callers
	srv, err := e.serveHTTP(c.Address, e.gateway, c.HeaderTimeout, c.MaxHeader)
	if err != nil {
		return err
	}
	e.callers = srv
	e.recorder.Gauge("requests_running", func() float64 { n, _ := e.dispatcher.Running(); return float64(n) })
	e.recorder.Gauge("requests_waiting", func() float64 { _, n := e.dispatcher.Running(); return float64(n) })
	e.recorder.Gauge("config_version", func() float64 { return float64(e.watcher.Version()) })
	e.run(func(ctx context.Context) {
		e.announceLoop(ctx, e.announce(tracker.EntryKind, false))
		e.run(func(ctx context.Context) { e.tracker.Run(ctx, e.random(trackDuty)) })
		e.firstPoll(ctx)
		e.elector.Run(ctx, e.timers)
	})
	e.run(func(ctx context.Context) { e.voter.Run(ctx, e.timers) })
	e.every(keeperInterval, "voters not changed", e.keepVoters)
	e.every(reportInterval, "usage not reported", e.report)
	e.every(planInterval, "engines not planned", e.plan)
	e.run(func(ctx context.Context) {
		e.meter.Run(ctx, e.timers, func(err error) { e.log.Warn("usage not written", "error", err) })
	})
	e.run(e.pollLoop)
	e.every(e.settings.Sessions.ProbeInterval, "sessions not kept", e.keepSessions)
	return nil
}

// firstPoll reads the list of members, so that the elector knows at its first
// step which leases are this entry's to take.
func (e *Entry) firstPoll(ctx context.Context) {
	if err := e.tracker.Poll(ctx); err != nil && ctx.Err() == nil {
		e.log.Warn("list of members not read", "error", err)
	}
}

// configure puts a new configuration in force.
func (e *Entry) configure(c *radishspoke.Configuration) {
	e.mu.Lock()
	e.teams = make(map[string]radishspoke.Team, len(c.Inventory.Teams))
	for _, t := range c.Inventory.Teams {
		e.teams[t.Name] = t
	}
	e.mu.Unlock()
	e.auth.Configure(c.Document.Keys)
	e.dispatcher.Configure(&c.Inventory)
	e.gateway.Configure(&c.Inventory)
}

func (e *Entry) team(name string) (radishspoke.Team, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.teams[name]
	return t, ok
}

// dispatch carries out a request and counts it.
func (e *Entry) dispatch(ctx context.Context, q *radishspoke.Request, s radishspoke.Sink) error {
	start := time.Now()
	m := &measuredSink{Sink: s, entry: e, request: q, start: start}
	err := e.dispatcher.Do(ctx, q, m)
	outcome, status := radishspoke.OutcomeRun, http.StatusOK
	var f *radishspoke.Failure
	if errors.As(err, &f) {
		outcome, status = f.Outcome, f.Status
	} else if err != nil {
		outcome, status = radishspoke.OutcomeUnknown, statusCallerGone
	}
	e.recorder.Request(q.Team, q.Route.Name, outcome, status, time.Since(start))
	return err
}

const statusCallerGone = 499 // in metrics only

// measuredSink notes when the first token passes.
type measuredSink struct {
	radishspoke.Sink
	entry   *Entry
	request *radishspoke.Request
	start   time.Time
	first   bool
}

// Tokens implements radishspoke.Sink.
func (m *measuredSink) Tokens(t []string) error {
	if !m.first {
		m.first = true
		m.entry.recorder.FirstToken(m.request.Team, m.request.Route.Name, time.Since(m.start))
	}
	return m.Sink.Tokens(t)
}

func (e *Entry) ready() bool { return !e.leaving.Load() && e.watcher.Version() > 0 }

// balancerNotice is how long an entry that leaves goes on taking requests, so
// that the platform's balancer sees that it is no longer ready.
const balancerNotice = 5 * time.Second

// Stop ends the entry once its requests have ended, or when ctx does.
func (e *Entry) Stop(ctx context.Context) {
	e.leaving.Store(true)
	e.log.Info("entry drains")
	q, cancel := context.WithTimeout(ctx, leaveTimeout)
	_ = e.store.Announce(q, e.announce(tracker.EntryKind, true))
	cancel()
	notice := time.NewTimer(balancerNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	q, cancel = context.WithTimeout(ctx, leaveTimeout)
	e.voter.Leave(q)
	cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		all, _ := e.dispatcher.Running()
		e.log.Warn("entry stops with requests running", "requests", all, "error", err)
	}
	q, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	if err := e.meter.Flush(q); err != nil {
		e.log.Warn("usage not written", "error", err)
	}
	_ = e.store.Withdraw(q, e.settings.Process.Name)
	cancel()
	e.Close()
}

// Close ends the entry at once.
func (e *Entry) Close() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.limiter.Close()
	e.pool.Close()
	e.close()
}
