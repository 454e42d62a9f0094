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

// Settings holds the settings of a Dispatcher.
type Settings struct {
	// Name is the name of this entry.
	Name string

	Router router.Settings

	// Incarnation is the incarnation of this process.
	Incarnation uint64

	// Meter records the usage of an answer and returns the answer's sequence
	// number. No usage is recorded if it is nil.
	Meter func(team string, u radishspoke.Usage) uint64

	// QueueLimit is the largest number of waiting requests per team; 256 if
	// zero.
	QueueLimit int

	// UnreachableTimeout is how long a request waits while no target of its
	// pool can be reached; 3 s if zero.
	UnreachableTimeout time.Duration
}

const (
	defaultQueueLimit         = 256
	defaultUnreachableTimeout = 3 * time.Second
	defaultRetryRatio         = 0.1
)

// KeyCheck returns an error if a request's API key may no longer start
// requests.
type KeyCheck func(radishspoke.Key) error

// Dispatcher serves the requests of one entry. Create it with New. It is safe for
// concurrent use.
type Dispatcher struct {
	settings Settings
	pool     *connector.Pool
	limiter  *limiter.Limiter
	clock    radishspoke.Clock
	check    KeyCheck
	claims   *claimer.Claimer
	log      *slog.Logger
	retries  *retrier.Budget

	mu        sync.Mutex
	router    *router.Router
	queue     *scheduler.Queue[*job]
	teams     map[string]radishspoke.Team
	bySidecar map[string]string // target name by sidecar address
	running   int               // calls of Do
	random    *rand.Rand
}

// New returns a Dispatcher without targets.
func New(s Settings, p *connector.Pool, l *limiter.Limiter, c radishspoke.Clock, check KeyCheck, claims *claimer.Claimer, random *rand.Rand, log *slog.Logger) *Dispatcher {
	if s.QueueLimit == 0 {
		s.QueueLimit = defaultQueueLimit
	}
	if s.UnreachableTimeout == 0 {
		s.UnreachableTimeout = defaultUnreachableTimeout
	}
	return &Dispatcher{
		settings: s, pool: p, limiter: l, clock: c, check: check, claims: claims, log: log,
		retries: retrier.New(defaultRetryRatio),
		router:  router.New(s.Router, random),
		queue:   scheduler.New[*job](s.QueueLimit),
		teams:   map[string]radishspoke.Team{}, bySidecar: map[string]string{}, random: random,
	}
}

// Configure replaces the targets, the teams and the rules with those of an
// inventory.
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

// Observe records the reply to a probe of a sidecar, or that there was none.
func (d *Dispatcher) Observe(r connector.ProbeResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Message == nil {
		d.router.MarkUnreachable(d.bySidecar[r.Address])
		return
	}
	d.observeLoad(r.RTT/2, r.Message.Load)
}

// observeLoad records a load report that was made the duration age ago. The
// caller must hold d.mu.
func (d *Dispatcher) observeLoad(age time.Duration, l *wire.Load) {
	if l == nil {
		return
	}
	d.router.Observe(d.clock.Now(), age, LoadFromWire(l))
	d.placeAll()
}

// Running returns the number of requests that have not ended, and the number of
// those that wait for a target.
func (d *Dispatcher) Running() (all, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.queue.Len()
}

// Do serves one request and returns nil once the sink has the complete answer.
// The error is a *radishspoke.Failure, or an error of ctx or the sink if the
// caller has disconnected.
func (d *Dispatcher) Do(ctx context.Context, q *radishspoke.Request, s radishspoke.Sink) error {
	d.addRunning(1)
	defer d.addRunning(-1)
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

// errorText returns the text of err, or "" if it is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// addRunning adds n to the number of running requests.
func (d *Dispatcher) addRunning(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += n
}

// began tells the router that the answer of the request's current target has
// begun, or that it never will. Only the first call for each target has an
// effect.
func (d *Dispatcher) began(j *job) {
	if j.began {
		return
	}
	j.began = true
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Began(d.clock.Now(), j.target, j.work)
}

// ended tells the router that a request to a target is over and whether the
// target failed it. It then places waiting requests.
func (d *Dispatcher) ended(target string, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Ended(d.clock.Now(), target, failed)
	d.placeAll()
}

// recordLength tells the router the length of a complete generated answer.
func (d *Dispatcher) recordLength(j *job) {
	if j.request.Generation == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordLength(j.work, int(j.position))
}

// markDraining tells the router that a target takes no new requests, until its
// next report.
func (d *Dispatcher) markDraining(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.MarkDraining(target)
}

// pause waits before retry number try. The error is not nil if ctx ends first.
func (d *Dispatcher) pause(ctx context.Context, try int) error {
	d.mu.Lock()
	p := retrier.Backoff(try, d.random)
	d.mu.Unlock()
	if !ticker.Sleep(ctx, p) {
		return fmt.Errorf("pause before a retry: %w", ctx.Err())
	}
	return nil
}
