package dispatcher

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/claimer"
	"radishspoke/coordination/limiter"
	"radishspoke/coordination/planner"
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

// LoadOf converts a message.
func LoadOf(l *wire.Load) radishspoke.Load {
	return radishspoke.Load{
		Target: l.Target, Running: int(l.Running), Waiting: int(l.Waiting), PrefillTokens: int(l.PrefillTokens),
		FreeBlocks: int(l.FreeBlocks), TotalBlocks: int(l.TotalBlocks), Role: radishspoke.Role(l.Role),
		Model: l.Model, Version: l.Version, Epoch: l.Epoch, Sequence: l.Sequence, Draining: l.Draining,
	}
}

// Running returns the number of requests in hand, and of those the ones that
// wait.
func (d *Dispatcher) Running() (all, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.queue.Len()
}

// job is one request in hand.
type job struct {
	request *radishspoke.Request
	sink    radishspoke.Sink
	work    router.Work
	cost    float64
	item    scheduler.Item[*job]
	placed  chan placement
	target  string // the last one
	began   bool   // whether the answer has begun there
	start   time.Time

	// charged, placed and first are how long after the start the team had
	// been charged, a target was chosen, and the answer began.
	chargedAfter, placedAfter, firstAfter time.Duration

	// attempt numbers the executions asked for, position is how much of
	// the answer the sink has.
	attempt  uint32
	position uint64
	headSent bool
	usage    radishspoke.Usage

	// started is set once a target may have begun to run the request.
	started bool

	// executeID is the id under which sidecars know the request, claim the
	// row that says so, if the caller brought a key. Followed is set when
	// the id is that of another request with the same key.
	executeID string
	followed  bool
	claim     claimer.Held

	// startedBefore is what started was before the present target.
	startedBefore bool
}

type placement struct {
	choice  router.Choice
	failure *radishspoke.Failure
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

func (d *Dispatcher) newJob(q *radishspoke.Request, s radishspoke.Sink) *job {
	j := &job{request: q, executeID: q.ID, sink: s, placed: make(chan placement, 1), start: time.Now()}
	if g := q.Generation; g != nil {
		j.work = router.Work{
			Pool: g.Model, PromptTokens: radishspoke.PromptTokens(g.Prompt), OutputTokens: g.MaxTokens,
			Prefix: router.Prefix(g.Model, g.Prompt),
		}
		j.cost = radishspoke.TokenCost(j.work.PromptTokens, g.MaxTokens)
	} else {
		j.work = router.Work{Pool: q.Route.Group}
		j.cost = q.Route.Cost
	}
	return j
}

// asFailure makes a final word of an error.
func (j *job) asFailure(err error) error {
	var f *radishspoke.Failure
	if errors.As(err, &f) {
		return f
	}
	outcome := radishspoke.OutcomeNotRun
	if j.started {
		outcome = radishspoke.OutcomeUnknown
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &radishspoke.Failure{Outcome: outcome, Status: http.StatusGatewayTimeout, Code: "deadline_exceeded", Message: "the deadline has passed"}
	}
	return &radishspoke.Failure{Outcome: outcome, Status: http.StatusBadGateway, Code: "target_failed", Message: err.Error()}
}

// charge takes the request's upper cost from its team's budget.
func (d *Dispatcher) charge(ctx context.Context, j *job) (limiter.Receipt, error) {
	q := j.request
	if q.Team == "" || j.cost == 0 {
		return limiter.Receipt{}, nil
	}
	r, err := d.limiter.Charge(ctx, q.Team, j.cost, time.Until(q.Deadline))
	var limited *limiter.LimitedError
	switch {
	case err == nil:
		return r, nil
	case errors.As(err, &limited):
		return limiter.Receipt{}, &radishspoke.Failure{
			Outcome: radishspoke.OutcomeNotRun, Status: http.StatusTooManyRequests, Code: "rate_limited",
			Message: fmt.Sprintf("team %s is at its rate", q.Team), RetryAfter: max(time.Second, limited.RetryAfter),
		}
	case errors.Is(err, limiter.ErrTooLarge):
		return limiter.Receipt{}, &radishspoke.Failure{
			Outcome: radishspoke.OutcomeNotRun, Status: http.StatusBadRequest, Code: "request_too_large",
			Message: fmt.Sprintf("team %s: %v", q.Team, err),
		}
	}
	return limiter.Receipt{}, fmt.Errorf("charge team %s: %w", q.Team, err)
}

// settle gives back the part of the charge that was not used. What may have
// run without an end is charged in full, but for a service call.
func (d *Dispatcher) settle(j *job, r limiter.Receipt, err error) {
	if len(r.Parts) == 0 {
		return
	}
	used := j.cost
	switch {
	case !j.started:
		used = 0
	case j.request.Generation != nil && err == nil:
		used = radishspoke.TokenCost(j.work.PromptTokens, int(j.position))
	}
	d.limiter.Settle(j.request.Team, r, used)
}

// place waits for the request's turn and for a target with room. The target
// is counted as sent to.
func (d *Dispatcher) place(ctx context.Context, j *job) (router.Choice, error) {
	if err := d.enqueue(j); err != nil {
		return router.Choice{}, err
	}
	patience := time.NewTimer(d.settings.Patience)
	defer patience.Stop()
	for {
		select {
		case p := <-j.placed:
			if p.failure != nil {
				return router.Choice{}, p.failure
			}
			return p.choice, nil
		case <-ctx.Done():
			return router.Choice{}, d.unplace(j, ctx.Err())
		case <-patience.C:
			if d.hopeless(j) {
				return router.Choice{}, d.unplace(j, &radishspoke.Failure{
					Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "no_target",
					Message: fmt.Sprintf("no target of %s can be reached", j.work.Pool), RetryAfter: d.settings.Patience,
				})
			}
			patience.Reset(d.settings.Patience)
		}
	}
}

func (j *job) outcome() radishspoke.Outcome {
	if j.started {
		return radishspoke.OutcomeUnknown
	}
	return radishspoke.OutcomeNotRun
}

func (d *Dispatcher) enqueue(j *job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.router.Has(j.work.Pool) {
		return &radishspoke.Failure{
			Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "no_target",
			Message: fmt.Sprintf("there is no target of %s", j.work.Pool),
		}
	}
	share := scheduler.Share{Weight: 1, Order: 1}
	if t, ok := d.teams[j.request.Team]; ok {
		share = scheduler.Share{Weight: t.Weight, Order: t.Order}
	}
	j.item = scheduler.Item[*job]{Team: j.request.Team, Pool: j.work.Pool, Cost: max(1, j.cost), Value: j}
	if err := d.queue.Push(&j.item, share); err != nil {
		return &radishspoke.Failure{
			Outcome: j.outcome(), Status: http.StatusTooManyRequests, Code: "queue_full",
			Message: fmt.Sprintf("team %s: %v", j.request.Team, err), RetryAfter: time.Second,
		}
	}
	d.placePool(j.work.Pool)
	return nil
}

// hopeless tells whether no target of the pool can be reached.
func (d *Dispatcher) hopeless(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := j.work
	w.Exclude = nil
	_, ok := d.router.Soonest(d.clock.Now(), w)
	return !ok
}

// unplace takes a request out of the queue. If it was placed in the meantime,
// its place is given back.
func (d *Dispatcher) unplace(j *job, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Remove(&j.item)
	select {
	case p := <-j.placed:
		if p.failure == nil {
			d.router.Began(d.clock.Now(), p.choice.Target.Name, j.work)
			d.router.Ended(d.clock.Now(), p.choice.Target.Name, false)
		}
	default:
	}
	var f *radishspoke.Failure
	if errors.As(err, &f) {
		return f
	}
	return fmt.Errorf("wait for a target: %w", err)
}

func (d *Dispatcher) placeAll() {
	for _, p := range d.queue.Pools() {
		d.placePool(p)
	}
}

// placePool gives waiting requests of a pool to targets with room. Requests
// that can't be answered before their deadline are refused instead.
func (d *Dispatcher) placePool(pool string) {
	now := d.clock.Now()
	for it := d.queue.Peek(pool); it != nil; it = d.queue.Peek(pool) {
		j := it.Value
		c, ok := d.pick(now, j)
		if !ok {
			return
		}
		d.queue.Pop(pool)
		if left := time.Until(j.request.Deadline); c.Expected > left {
			j.placed <- placement{failure: &radishspoke.Failure{
				Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "overloaded",
				Message:    fmt.Sprintf("the answer is expected to take %v, the deadline is in %v", c.Expected, left),
				RetryAfter: max(time.Second, c.Expected-left),
			}}
			continue
		}
		d.router.Sent(now, c.Target.Name, j.work)
		j.placed <- placement{choice: c}
	}
}

// pick chooses a target. When all that could be reached have failed the
// request, they may be tried again.
func (d *Dispatcher) pick(now time.Duration, j *job) (router.Choice, bool) {
	c, ok := d.router.Pick(now, j.work)
	if ok || len(j.work.Exclude) == 0 {
		return c, ok
	}
	if _, reachable := d.router.Soonest(now, j.work); reachable {
		return c, false
	}
	j.work.Exclude = nil
	return d.router.Pick(now, j.work)
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

// TargetView is what this entry knows of one target.
type TargetView struct {
	Name       string           `json:"name"`
	Zone       string           `json:"zone"`
	Reachable  bool             `json:"reachable"`
	Draining   bool             `json:"draining"`
	Ejected    bool             `json:"ejected"`
	InProgress int              `json:"in_progress"` // from this entry
	ReportAge  string           `json:"report_age"`
	Load       radishspoke.Load `json:"load"`
}

// Targets returns what is known of every target, in the inventory's order.
func (d *Dispatcher) Targets() []TargetView {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	views := d.router.Views(now)
	out := make([]TargetView, 0, len(views))
	for _, v := range views {
		out = append(out, TargetView{
			Name: v.Target.Name, Zone: v.Target.Zone, Reachable: v.Reachable, Draining: v.Target.Draining || v.Load.Draining,
			Ejected: v.Ejected, InProgress: v.Outstanding, ReportAge: v.ReportAge.Truncate(time.Millisecond).String(), Load: v.Load,
		})
	}
	return out
}

// Engines returns what the planner needs to know of every engine.
func (d *Dispatcher) Engines() []planner.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []planner.Engine
	for _, v := range d.router.Views(d.clock.Now()) {
		if v.Target.Kind == radishspoke.EngineTarget && v.Reachable {
			out = append(out, planner.Engine{Target: v.Target, Load: v.Load, Usable: !v.Ejected && !v.Target.Draining})
		}
	}
	return out
}
