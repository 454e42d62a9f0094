package dispatcher

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/coordination/claimer"
	"radishspoke/coordination/limiter"
	"radishspoke/coordination/retrier"
	"radishspoke/coordination/router"
	"radishspoke/coordination/scheduler"
	"radishspoke/protocol/wire"
	"radishspoke/transport/connector"
	"radishspoke/transport/ticker"
)

// Settings of a Dispatcher.
type Settings struct {
	// Name is that of this entry.
	Name string

	Router router.Settings

	// Incarnation is that of this process, and Meter counts the usage of an
	// answer and returns its number; none is counted if nil.
	Incarnation uint64
	Meter       func(team string, u radishspoke.Usage) uint64

	// QueueLimit is the most requests that wait for one team; 256 if zero.
	QueueLimit int

	// Patience is how long a request waits while no target of its pool can
	// be reached; 3 s if zero.
	Patience time.Duration
}

const (
	defaultQueueLimit = 256
	defaultPatience   = 3 * time.Second
	defaultRetryRatio = 0.1
)

// Check tells whether a request's key may still start work.
type Check func(radishspoke.Key) error

// Dispatcher serves the requests of one entry. Make it with New.
type Dispatcher struct {
	settings Settings
	pool     *connector.Pool
	limiter  *limiter.Limiter
	clock    radishspoke.Clock
	check    Check
	claims   *claimer.Claimer
	log      *slog.Logger
	retries  *retrier.Budget

	mu        sync.Mutex
	router    *router.Router
	queue     *scheduler.Queue[*job]
	teams     map[string]radishspoke.Team
	bySidecar map[string]string // target name by sidecar address
	running   int
	random    *rand.Rand
}

// New returns a Dispatcher without targets.
func New(s Settings, p *connector.Pool, l *limiter.Limiter, c radishspoke.Clock, check Check, claims *claimer.Claimer, random *rand.Rand, log *slog.Logger) *Dispatcher {
	if s.QueueLimit == 0 {
		s.QueueLimit = defaultQueueLimit
	}
	if s.Patience == 0 {
		s.Patience = defaultPatience
	}
	return &Dispatcher{
		settings: s, pool: p, limiter: l, clock: c, check: check, claims: claims, log: log,
		retries: retrier.New(defaultRetryRatio),
		router:  router.New(s.Router, random),
		queue:   scheduler.New[*job](s.QueueLimit),
		teams:   map[string]radishspoke.Team{}, bySidecar: map[string]string{}, random: random,
	}
}

// Configure takes a new inventory.
func (d *Dispatcher) Configure(v *radishspoke.Inventory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetTargets(v.Targets)
	d.bySidecar = make(map[string]string, len(v.Targets))
	for _, t := range v.Targets {
		d.bySidecar[t.Sidecar] = t.Name
	}
	d.teams = make(map[string]radishspoke.Team, len(v.Teams))
	for _, t := range v.Teams {
		d.teams[t.Name] = t
	}
	d.queue.SetLimit(v.Rules.QueueLimit)
	d.retries.SetRatio(v.Rules.RetryBudget)
	d.placeAll()
}

// Observe takes what a probe to a sidecar brought back.
func (d *Dispatcher) Observe(r connector.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Message == nil {
		d.router.Lost(d.bySidecar[r.Address])
		return
	}
	d.observeLoad(r.RTT/2, r.Message.Load)
}

// observeLoad takes a report that was made that long ago.
func (d *Dispatcher) observeLoad(age time.Duration, l *wire.Load) {
	if l == nil {
		return
	}
	d.router.Observe(d.clock.Now(), age, LoadOf(l))
	d.placeAll()
}

// Running returns the number of requests in hand, and of those the ones that
// wait.
func (d *Dispatcher) Running() (all, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.queue.Len()
}

// Do serves one request and returns nil once the sink has the whole answer.
// The error is a *radishspoke.Failure, or that of the sink or of ctx when the
// caller has gone.
func (d *Dispatcher) Do(ctx context.Context, q *radishspoke.Request, s radishspoke.Sink) error {
	d.enter(1)
	defer d.enter(-1)
	d.retries.Request()
	j := d.newJob(q, s)
	deadline, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	receipt, err := d.charge(deadline, j)
	j.chargedAfter = time.Since(j.start)
	if err == nil {
		err = d.run(deadline, j)
		d.settle(j, receipt, err)
	}
	if err != nil && ctx.Err() == nil {
		err = j.asFailure(err)
	}
	d.log.Info("request served", "request", q.ID, "team", q.Team, "route", q.Route.Name, "target", j.target,
		"charged", j.chargedAfter, "placed", j.placedAfter, "first", j.firstAfter, "took", time.Since(j.start),
		"attempts", j.attempt, "length", j.position, "error", errorText(err))
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (d *Dispatcher) enter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += n
}

// began notes that the answer has begun at the target that it was last sent
// to, or that it won't.
func (d *Dispatcher) began(j *job) {
	if j.began {
		return
	}
	j.began = true
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Began(d.clock.Now(), j.target, j.work)
}

func (d *Dispatcher) ended(target string, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Ended(d.clock.Now(), target, failed)
	d.placeAll()
}

// learn notes the length of a whole generated answer.
func (d *Dispatcher) learn(j *job) {
	if j.request.Generation == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Learn(j.work, int(j.position))
}

// drains notes that a target takes no new requests, until its next report.
func (d *Dispatcher) drains(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Drains(target)
}

func (d *Dispatcher) pause(ctx context.Context, try int) error {
	d.mu.Lock()
	p := retrier.Pause(try, d.random)
	d.mu.Unlock()
	if !ticker.Sleep(ctx, p) {
		return fmt.Errorf("pause before a retry: %w", ctx.Err())
	}
	return nil
}
