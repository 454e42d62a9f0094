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
	"radishspoke/protocol/wire"
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
	e.run(e.keeperLoop)
	e.run(e.reportLoop)
	e.run(e.planLoop)
	e.run(func(ctx context.Context) {
		e.meter.Run(ctx, e.timers, func(err error) { e.log.Warn("usage not written", "error", err) })
	})
	e.run(e.pollLoop)
	e.run(e.keepLoop)
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

// probe makes the probe that goes to every peer.
func (e *Entry) probe() *wire.Probe {
	return &wire.Probe{
		Process: e.settings.Process.Name, ConfigVersion: e.watcher.Version(), FreshAgeMs: ageMillis(e.watcher.Age()),
		Incarnation: e.incarnation, UsageThrough: e.meter.Through(),
	}
}

// count records the usage of one answer.
func (e *Entry) count(team string, u radishspoke.Usage) uint64 {
	e.recorder.Tokens(team, u.Output)
	return e.meter.Add(team, u)
}

// answer replies to a peer's probe.
func (e *Entry) answer(*wire.Probe) *wire.ProbeReply {
	return &wire.ProbeReply{
		Process: e.settings.Process.Name, ConfigVersion: e.watcher.Version(), FreshAgeMs: ageMillis(e.watcher.Age()),
		Incarnation: e.incarnation,
	}
}

// observe takes what a probe brought back. It must not block.
func (e *Entry) observe(r connector.Reply) {
	e.dispatcher.Observe(r)
	if !e.note(r) {
		return
	}
	asked := e.timers.Now() - r.RTT
	e.voucher.Heard(r.Message.Process, voucher.Report{Version: r.Message.ConfigVersion, At: asked})
	e.watcher.Prove(r.Message.ConfigVersion, asked-time.Duration(r.Message.FreshAgeMs)*time.Millisecond)
}

// note keeps a sidecar's version and exchanges configuration. It tells whether
// the reply is another entry's.
func (e *Entry) note(r connector.Reply) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Message == nil {
		delete(e.sidecars, r.Address)
		return false
	}
	e.exchangeConfig(r)
	if r.Message.Load != nil {
		e.sidecars[r.Address] = r.Message.ConfigVersion
	}
	_, peer := e.peers[r.Address]
	return peer
}

// exchangeConfig brings the configuration to a peer that has an older one, or
// takes it from one that has a newer.
func (e *Entry) exchangeConfig(r connector.Reply) {
	mine, theirs := e.watcher.Version(), r.Message.ConfigVersion
	if mine == theirs || e.ctx.Err() != nil {
		return
	}
	e.run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.settings.Sessions.ProbeTimeout)
		defer cancel()
		var err error
		if mine > theirs {
			err = e.pushTo(ctx, r.Address)
		} else {
			err = e.fetchFrom(ctx, r.Address)
		}
		if err != nil && ctx.Err() == nil {
			e.log.Warn("configuration not exchanged", "address", r.Address, "error", err)
		}
	})
}

func (e *Entry) pushTo(ctx context.Context, address string) error {
	version, hash, data := e.watcher.Packed()
	_, err := connector.Call[wire.Ack](ctx, e.pool, address, pushMethod, &wire.ConfigDocument{Version: version, Hash: hash, Document: data})
	return err
}

func (e *Entry) fetchFrom(ctx context.Context, address string) error {
	c, err := connector.Call[wire.ConfigDocument](ctx, e.pool, address, fetchMethod, &wire.FetchConfig{NewerThan: e.watcher.Version()})
	if err != nil {
		return err
	}
	return e.watcher.AcceptPacked(c.Version, c.Hash, c.Document)
}

// pollLoop reads the configuration's row, less often the more entries there
// are.
func (e *Entry) pollLoop(ctx context.Context) {
	random := e.random(pollDuty)
	for {
		if err := e.watcher.Poll(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("configuration not read", "error", err)
		}
		if err := e.readVoters(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("voters not read", "error", err)
		}
		mean := max(leastPollInterval, time.Duration(len(e.tracker.Entries()))*time.Second/pollRate)
		t := time.NewTimer(mean/2 + time.Duration(random.Int64N(int64(mean))))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// keepLoop holds sessions to sidecars and to some of the other entries.
func (e *Entry) keepLoop(ctx context.Context) {
	ticks, stop := e.timers.Every(e.settings.Sessions.ProbeInterval)
	defer stop()
	for {
		e.pool.Keep(e.wantedSessions())
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// wantedSessions returns the addresses to hold sessions to.
func (e *Entry) wantedSessions() []string {
	var out []string
	peers := map[string]string{}
	entries := e.tracker.Entries()
	names := make([]string, 0, len(entries))
	for _, m := range entries {
		names = append(names, m.Name)
	}
	if e.watcher.Age() < voucher.Bound {
		e.voucher.SetEntries(names)
	}
	for _, m := range tracker.Rank(e.settings.Process.Name, entries) {
		if m.Name != e.settings.Process.Name && (len(entries) <= smallFleet || len(peers) < gossipPeers) {
			peers[m.Address] = m.Name
			out = append(out, m.Address)
		}
	}
	e.mu.Lock()
	e.peers = peers
	e.mu.Unlock()
	if c := e.watcher.Current(); c != nil {
		out = append(out, e.wantedSidecars(c.Inventory.Targets)...)
	}
	return out
}

// smallFleet is the number of entries up to which each keeps a session to
// every other.
const smallFleet = 16

// wantedSidecars returns the sidecars of every target, or of a part of each
// pool when there are many.
func (e *Entry) wantedSidecars(targets []radishspoke.Target) []string {
	part := min(1, float64(maxSessions)/float64(max(1, len(targets))))
	var out []string
	for _, t := range targets {
		w := float64(tracker.Weight(e.settings.Process.Name, t.Name)) / float64(1<<63) / 2
		if w <= part {
			out = append(out, t.Sidecar)
		}
	}
	return out
}

// EntryStatus is what an entry says of itself to operators.
type EntryStatus struct {
	Name          string                   `json:"name"`
	Kind          string                   `json:"kind"`
	Zone          string                   `json:"zone"`
	ConfigVersion int64                    `json:"config_version"`
	ConfigAge     string                   `json:"config_age"`
	Standing      bool                     `json:"standing"`
	Leaving       bool                     `json:"leaving"`
	Running       int                      `json:"running"`
	Waiting       int                      `json:"waiting"`
	Leases        map[string]elector.Lease `json:"leases"`
	Rights        []string                 `json:"rights"`
	Voters        []string                 `json:"voters"`
	Targets       []dispatcher.TargetView  `json:"targets"`
}

// Status returns the entry's status.
func (e *Entry) Status() EntryStatus {
	all, waiting := e.dispatcher.Running()
	age := e.watcher.Age()
	return EntryStatus{
		Name: e.settings.Process.Name, Kind: tracker.EntryKind, Zone: e.settings.Process.Zone,
		ConfigVersion: e.watcher.Version(), ConfigAge: age.Truncate(time.Millisecond).String(),
		Standing: e.voucher.Standing(e.watcher.Version(), age), Leaving: e.leaving.Load(),
		Running: all, Waiting: waiting, Leases: e.elector.Held(), Rights: e.voter.Held(), Voters: e.voter.Set().Members, Targets: e.dispatcher.Targets(),
	}
}

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
