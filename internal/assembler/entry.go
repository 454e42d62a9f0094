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
	"radishspoke/coordination/validator"
	"radishspoke/coordination/voter"
	"radishspoke/protocol/encoder"
	"radishspoke/state/parser"
	"radishspoke/state/tracker"
	"radishspoke/transport/budgeter"
	"radishspoke/transport/connector"
	"radishspoke/transport/gateway"
	"radishspoke/transport/listener"
)

// Entry is the process to which callers send requests. It checks keys, limits
// the rates of teams and dispatches requests to the sidecars of targets. Create
// one with NewEntry.
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
	validator  *validator.Validator
	dispatcher *dispatcher.Dispatcher
	gateway    *gateway.Gateway
	callers    *http.Server
	leaving    atomic.Bool

	mu       sync.Mutex
	teams    map[string]radishspoke.Team
	sidecars map[string]int64  // configuration version by sidecar address
	peers    map[string]string // entry name by address, of the entries to which sessions are kept
}

const (
	minPollInterval    = time.Second // minimum mean time between reads of the configuration row
	maxPollRate        = 20          // approximate maximum number of reads of that row per second, by all entries together
	peerSessions       = 2           // number of other entries to which an entry keeps sessions if there are more than maxFullMesh
	maxSidecarSessions = 48          // approximate maximum number of sidecars to which an entry keeps sessions
)

// NewEntry starts an entry with the given settings. It returns an error if a
// listener cannot be opened.
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
	e.validator = validator.New(s.Process.Name, e.timers)
	e.auth = authenticator.New(func() bool { return e.validator.Trusts(e.watcher.Version(), e.watcher.Age()) })
	e.pool = connector.New(e.env.Network, e.sessionSettings(), e.newProbe, e.observeReply)
	e.elector = elector.New(elector.Settings{Name: s.Process.Name, Address: s.Sessions.Address}, e.store, e.timers, e.wantedLeases, e.log)
	e.voter = voter.New(voter.Settings{Name: s.Process.Name, Rights: shardNames()}, e.timers, e.requestVote, rankNames, e.random(voterStream), e.log)
	e.owner = limiter.NewOwner(e.timers, e.budgetTenure, e.team)
	e.meter = meter.New(e.store, s.Process.Name, e.incarnation, e.usageWindow)
	e.reporter = reporter.New(e.store, s.Process.Name, e.reporterTenure, e.usageWindow)
	e.limiter = limiter.New(s.Process.Name, e.timers, e.requestBudget)
	e.dispatcher = dispatcher.New(dispatcher.Settings{Name: s.Process.Name, Incarnation: e.incarnation, Meter: e.recordUsage, Router: router.Settings{Zone: s.Process.Zone}},
		e.pool, e.limiter, e.timers, e.auth.Valid, claimer.New(e.store), e.random(dispatcherStream), e.log)
	e.gateway = gateway.New(gateway.Settings{MaxBody: int64(s.Callers.MaxBody), BodyTimeout: s.Callers.BodyTimeout},
		e.auth, e.dispatch, e.log)
	e.server = listener.New(encoder.Methods{
		fetchMethod:  encoder.Unary(e.handleFetch),
		pushMethod:   encoder.Unary(e.handlePush),
		budgetMethod: encoder.Unary(e.handleBudget),
		voteMethod:   encoder.Unary(e.handleVote),
	}, s.Sessions.ProbeTimeout, e.answerProbe, e.log)
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
	srv, err := e.serveHTTP("callers", budgeter.MainShare, c.Address, e.gateway, c.HeaderTimeout, c.MaxHeader)
	if err != nil {
		return err
	}
	e.callers = srv
	e.recorder.Gauge("requests_running", func() float64 { n, _ := e.dispatcher.Running(); return float64(n) })
	e.recorder.Gauge("requests_waiting", func() float64 { _, n := e.dispatcher.Running(); return float64(n) })
	e.recorder.Gauge("config_version", func() float64 { return float64(e.watcher.Version()) })
	e.run(func(ctx context.Context) {
		e.announceLoop(ctx, e.member(tracker.EntryKind, false))
		e.run(func(ctx context.Context) { e.tracker.Run(ctx, e.random(trackerStream)) })
		e.pollMembers(ctx)
		e.elector.Run(ctx, e.timers)
	})
	e.run(func(ctx context.Context) { e.voter.Run(ctx, e.timers) })
	e.runEvery(keeperInterval, "voters not updated", e.updateVoters)
	e.runEvery(reportInterval, "usage not reported", e.reportUsage)
	e.runEvery(planInterval, "engine orders not planned", e.planEngines)
	e.run(func(ctx context.Context) {
		e.meter.Run(ctx, e.timers, func(err error) { e.log.Warn("usage not written", "error", err) })
	})
	e.run(e.pollLoop)
	e.runEvery(e.settings.Sessions.ProbeInterval, "sessions not opened", e.ensureSessions)
	return nil
}

// pollMembers reads the list of members. The elector needs it at its first step
// to determine the leases for which this entry is a candidate.
func (e *Entry) pollMembers(ctx context.Context) {
	if err := e.tracker.Poll(ctx); err != nil && ctx.Err() == nil {
		e.log.Warn("list of members not read", "error", err)
	}
}

// configure applies a new configuration.
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

// dispatch dispatches a request, streams the response to s, and records the
// outcome and the duration in the metrics.
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
	e.recorder.ObserveRequest(q.Team, q.Route.Name, outcome, status, time.Since(start))
	return err
}

const statusCallerGone = 499 // used only in metrics

// measuredSink is a Sink that records the time to the first token.
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
		m.entry.recorder.ObserveFirstToken(m.request.Team, m.request.Route.Name, time.Since(m.start))
	}
	return m.Sink.Tokens(t)
}

func (e *Entry) ready() bool { return !e.leaving.Load() && e.watcher.Version() > 0 }

// balancerNotice is the time for which a stopping entry still accepts requests,
// so that the platform's load balancer can notice that it is not ready.
const balancerNotice = 5 * time.Second

// Stop ends the entry after its requests have ended, or when ctx is done. Before
// that, the entry reports that it is not ready, continues to accept requests for
// balancerNotice, and gives up the rights that it holds. At the end it writes the
// usage that is not in the table yet, and removes itself from the list of members.
func (e *Entry) Stop(ctx context.Context) {
	e.leaving.Store(true)
	e.log.Info("entry is draining")
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	_ = e.store.Announce(leaveCtx, e.member(tracker.EntryKind, true))
	cancel()
	notice := time.NewTimer(balancerNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	leaveCtx, cancel = context.WithTimeout(ctx, leaveTimeout)
	e.voter.Leave(leaveCtx)
	cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		running, _ := e.dispatcher.Running()
		e.log.Warn("entry stops with requests running", "requests", running, "error", err)
	}
	leaveCtx, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	if err := e.meter.Flush(leaveCtx); err != nil {
		e.log.Warn("usage not written", "error", err)
	}
	_ = e.store.Withdraw(leaveCtx, e.settings.Process.Name)
	cancel()
	e.Close()
}

// Close ends the entry immediately and aborts the requests in progress.
func (e *Entry) Close() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.limiter.Close()
	e.pool.Close()
	e.close()
}
