package fleetdispatcher

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/authenticator"
	"radishspoke/coordination/estimator"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/transport"
	"radishspoke/transport/budgeter"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/httpclient"
)

// Configuration is one version of the routing table with the keys in it.
type Configuration struct {
	Table *radishspoke.RoutingTable
	Keys  Keys
}

// Configurations provides the newest configuration, or nil if none is known.
type Configurations interface {
	Configuration() *Configuration
}

// Keys checks the keys of callers against one version of the configuration.
type Keys interface {
	// Check returns the key that belongs to a secret. The errors are those of
	// package authenticator.
	Check(secret string) (radishspoke.Key, error)

	// Valid returns nil if a key that was checked before, maybe by another version,
	// may still start requests.
	Valid(k radishspoke.Key) error
}

// KeyTrust tells how long the current configuration can be trusted to contain
// every withdrawal of a key.
type KeyTrust interface {
	// TrustedUntil returns the end of that period on the clock of the process.
	TrustedUntil() time.Duration
}

// RateLimiter enforces the rate limits of teams.
type RateLimiter interface {
	// Admit charges tokens to a team. If the team is over its rate, it returns
	// false and the time after which to retry.
	Admit(t radishspoke.TeamRule, tokens float64) (retryAfter time.Duration, ok bool)

	// Wait is like Admit for a request that its caller cannot make later. It waits for
	// at most the given time until the team is below its rate.
	Wait(ctx context.Context, t radishspoke.TeamRule, tokens float64, limit time.Duration) (retryAfter time.Duration, ok bool)

	// Refund reverses the charge for a request that did not run.
	Refund(t radishspoke.TeamRule, tokens float64)
}

// RetryBudgets holds the retry budget of each group.
type RetryBudgets interface {
	// Request records the first send of a request to a group.
	Request(group string)

	// Retry takes one retry from the budget of a group. It returns false if there
	// is none.
	Retry(group string) bool

	// Return gives back a retry that was taken and not used.
	Return(group string)
}

// Usage counts the requests that began to run.
type Usage interface {
	Begun(team string)
}

// Router chooses targets. See fleetrouter.Router.
type Router interface {
	PickPrefill(group radishspoke.Group, g *radishspoke.GenerationInfo, queueDelay fleetrouter.QueueDelay, left time.Duration, sel fleetrouter.Selection) (fleetrouter.Placement, error)
	RecordPrefill(engine string, g *radishspoke.GenerationInfo)
	PickDecode(group, from string, sel fleetrouter.Selection) (radishspoke.Instance, error)
	PickShort(group string, sel fleetrouter.Selection) (radishspoke.Instance, error)
	PickPlain(group string, sel fleetrouter.Selection) (radishspoke.Instance, error)
	DecodeSaturated(group, software string) bool
	Leaving(target string) bool
	Pause(group string, role radishspoke.Role) (time.Duration, bool)
	Limited(group string, role radishspoke.Role) bool
	Has(group string, role radishspoke.Role, sel fleetrouter.Selection) bool
	CanPrefill(group radishspoke.Group, g *radishspoke.GenerationInfo, queueDelay fleetrouter.QueueDelay, left time.Duration, sel fleetrouter.Selection) bool
	Unpick(target string)
	Claim(target string) bool
	Cold(target string) bool
	Begin(target string)
	End(target string, r fleetrouter.Report)
	Silence(target string)
	Rooms
}

// PromptQueue orders the prompts that wait for an engine. See
// sequencer.Sequencer.
type PromptQueue interface {
	ExpectedWait(engine string) time.Duration
	Wait(ctx context.Context, engine string, t sequencer.Ticket) (func(took time.Duration), error)
}

// RelayClient sends requests through the sidecar of a prefill engine. See
// relayer.Client.
type RelayClient interface {
	Worthwhile(engine string, size int) bool
	ExpectedWait(engine string) (time.Duration, bool)
	Do(ctx context.Context, engine string, o *relayer.Order, p relayer.Progress) (*httpclient.Response, relayer.Stats, error)
}

// Estimator learns the times of engines. See estimator.Estimator.
type Estimator interface {
	Timing(group string) estimator.Timing
	ObservePrefill(group, engine string, tokens int, took time.Duration)
	ObserveFirstEvent(group string, took time.Duration)
	ObserveTransfer(group string, took, link time.Duration)
	ObserveOutput(group string, output int, took time.Duration)
	ObserveOutputShare(group string, output, tokens int)
}

// Forecaster measures the work for engines. See forecaster.Forecaster.
type Forecaster interface {
	ObservePrompt(group string, tokens int, prefill time.Duration)
	ObserveTransfer(group string, took time.Duration)
	BeginStream(group string, tokens int) (end func())
}

// Answers records what targets say in answers that a sidecar has passed on: whether they take
// further requests, and how many. See avoider.Avoider and throttler.Throttler.
type Answers interface {
	Observe(id string, status int, h http.Header)
}

// Targets sends calls to targets.
type Targets interface {
	Do(ctx context.Context, address string, c *httpclient.Call) (*httpclient.Response, error)
	Probe(ctx context.Context, address string) error
	CloseIdle(address string)
}

// Recorder records request metrics.
type Recorder interface {
	ObserveRequest(team, route string, outcome radishspoke.Outcome, status int, took time.Duration)
	ObserveFirstToken(team, route string, took time.Duration)

	// ObserveStream records the end of a stream of a target: how it was framed,
	// whether it ended without an error, and whether it ended inside an event.
	ObserveStream(framing string, ended, partial bool)

	// ObserveResumption records a stream that a target has resumed: whether the
	// caller asked for it, and a word for whether its software version began it.
	ObserveResumption(byCaller bool, software string)

	// ObserveGiveUp records an attempt that was ended because its target was silent.
	ObserveGiveUp()

	HoldRecorder
	LoadRecorder
}

// ErrInterrupted is the cause with which a process that shuts down cancels the
// contexts of requests. Those that have no answer yet get a failure.
var ErrInterrupted = fmt.Errorf("process stops: %w", context.Canceled)

// Shutdown tells whether a planned shutdown of this process is in progress.
type Shutdown interface {
	// Remaining returns the time within which new requests must be answered, and
	// false if no shutdown is in progress.
	Remaining() (time.Duration, bool)

	// Closing reports whether callers are asked to use other processes. From then
	// on, a request is only taken if its time limit lies within the time that
	// remains.
	Closing() bool
}

// Dependencies holds the dependencies of a Dispatcher.
type Dependencies struct {
	Configurations Configurations
	KeyTrust       KeyTrust
	RateLimiter    RateLimiter
	RetryBudgets   RetryBudgets
	Usage          Usage
	Router         Router
	PromptQueue    PromptQueue
	RelayClient    RelayClient
	Estimator      Estimator
	Forecaster     Forecaster
	Quarantine     Quarantine
	Streams        Streams
	Answers        Answers
	Targets        Targets
	Recorder       Recorder
	Shutdown       Shutdown
	Admitter       Admitter  // nil if all requests are admitted
	SlotTimes      SlotTimes // nil without an Admitter
	Clock          radishspoke.Clock
	Log            *slog.Logger
}

// Dispatcher serves the requests of callers. Create it with New.
type Dispatcher struct {
	Dependencies
	crashes  crashDetector
	patience patienceRecord
	oddLoads oddLoads
}

// New returns a Dispatcher with the given dependencies.
func New(d Dependencies) *Dispatcher {
	return &Dispatcher{Dependencies: d, crashes: crashDetector{probing: map[string]bool{}}, patience: patienceRecord{longest: map[string]time.Duration{}}, oddLoads: oddLoads{logged: map[string]bool{}}}
}

const (
	// defaultDeadline applies if neither the caller nor the route sets a limit.
	defaultDeadline = 30 * time.Second

	// stopMargin is the minimum time, in addition to the expected time of a
	// generation, that a process which is shutting down must have left to accept a
	// request.
	stopMargin = time.Second

	// limitMargin is the same in addition to the time limit of a request. It
	// covers the answer that the process writes at the limit.
	limitMargin = 50 * time.Millisecond

	// startRetryAfter is the retry delay that callers are given while the process
	// has no usable configuration.
	startRetryAfter = 300 * time.Millisecond

	// stopRetryAfter is the retry delay that callers are given during a shutdown;
	// the retry reaches another entry.
	stopRetryAfter = 20 * time.Millisecond
)

// ServeHTTP serves one request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{arrived: d.Clock.Now(), method: r.Method, target: r.RequestURI, host: r.Host, excluded: map[string]bool{}}
	if fail := d.admit(j, w, r); fail != nil {
		d.writeFailure(w, j, fail)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), j.deadline-d.Clock.Now())
	defer cancel()
	aw := &answerWriter{w: w, conn: budgeter.From(r.Context()), begin: func() { d.beginStream(j) }}
	fail := d.charge(ctx, j)
	if fail == nil {
		if fail = d.checkOverload(j); fail == nil {
			fail = d.serve(ctx, j, aw)
		}
		if fail != nil && !j.mayHaveRun && j.team.Name != "" {
			d.RateLimiter.Refund(j.team, j.chargedTokens())
		}
	}
	interrupted := errors.Is(context.Cause(r.Context()), ErrInterrupted)
	switch {
	case r.Context().Err() != nil && !interrupted:
		notice, late := callerwatcher.Left(r.Context())
		d.Log.Info("caller left", "id", j.incoming.ID, "notice", notice, "late", late, "sent", j.visited != "", "running", j.mayHaveRun)
		d.logRequest(j, 0, "caller left")
		panic(http.ErrAbortHandler)
	case fail == nil:
		d.recordSlot(j)
		d.logRequest(j, aw.status, "answered")
	case interrupted && aw.started:
		d.logRequest(j, aw.status, "cut at the end of the grace period")
		transport.Abort(w, r)
	case interrupted:
		fail = d.failure(j, "stopping", "this entry stops before the answer is whole")
		if fail.Outcome == radishspoke.OutcomeNotRun {
			fail.RetryAfter = stopRetryAfter
		}
		d.writeFailure(w, j, fail)
	case aw.started:
		d.logRequest(j, aw.status, "broken off: "+fail.Message)
		transport.Abort(w, r)
	default:
		d.recordRefusal(j, fail)
		d.recordRejection(j, fail)
		d.writeFailure(w, j, fail)
	}
}

// serve sends a request to the targets of its group until one answers or no
// further attempt is allowed.
func (d *Dispatcher) serve(ctx context.Context, j *job, aw *answerWriter) *radishspoke.Failure {
	if j.resumesStream() {
		if fail := d.findVersion(ctx, j); fail != nil {
			return fail
		}
	} else if j.rule.Kind == radishspoke.Streaming {
		d.patience.observe(j)
	}
	d.RetryBudgets.Request(j.group.Name)
	defer d.settle(j)
	send := d.serveGeneration
	if j.plain() {
		send = d.servePlain
	}
	fail := send(ctx, j, aw)
	if fail != nil && j.failed != nil && !aw.started {
		aw.writeKept(j.failed)
		return nil
	}
	return fail
}

// admit checks a request and sets the fields of its job. It returns a failure if
// the request is rejected.
func (d *Dispatcher) admit(j *job, w http.ResponseWriter, r *http.Request) *radishspoke.Failure {
	var err error
	if j.incoming, err = platform.DecodeRequest(r.Header); err != nil {
		return notRunFailure(http.StatusBadRequest, "header", err.Error(), 0)
	}
	current := d.Configurations.Configuration()
	if current == nil {
		return notRunFailure(http.StatusServiceUnavailable, "starting", "no configuration is known yet", startRetryAfter)
	}
	table := current.Table
	rule, ok := matchRule(table, r.Host, r.URL.EscapedPath())
	if !ok {
		return notRunFailure(http.StatusNotFound, "route", "no route leads to this path", 0)
	}
	j.table, j.rule = table, rule
	j.group = table.Groups[chooseGroup(rule, j.incoming.ID)]
	limit := j.timeLimit()
	j.deadline = j.arrived + limit
	if left, stopping := d.Shutdown.Remaining(); stopping && left < d.stopTime(j, limit) {
		w.Header().Set("Connection", "close") // the next connection leads to another entry
		return notRunFailure(http.StatusServiceUnavailable, "stopping", "this entry stops before the answer would be whole", stopRetryAfter)
	}
	if fail := d.authenticate(j, current); fail != nil {
		return fail
	}
	j.regions = allowedRegions(rule, j.team)
	if fail := j.receiveBody(w, r); fail != nil {
		return fail
	}
	j.fingerprint = j.newFingerprint()
	j.header = platform.ForwardedHeaders(r.Header)
	j.setLimits()
	return nil
}

// charge charges the tokens of a request to its team. A request that resumes a stream waits
// for the rate as long as the stream can go on in time: a caller that is refused has lost the
// stream, whereas a new one may begin later.
func (d *Dispatcher) charge(ctx context.Context, j *job) *radishspoke.Failure {
	if j.team.Name == "" {
		return nil
	}
	after, ok := time.Duration(0), false
	if j.resumesStream() {
		left := j.startBy - d.Clock.Now() - d.restartTime(j) - transitTime
		after, ok = d.RateLimiter.Wait(ctx, j.team, j.chargedTokens(), left)
	} else {
		after, ok = d.RateLimiter.Admit(j.team, j.chargedTokens())
	}
	if !ok {
		return notRunFailure(http.StatusTooManyRequests, "rate", "the team is over its rate", after)
	}
	return nil
}

// authenticate sets the team and the key of a request, unless the route is open
// or the configuration requires no keys.
func (d *Dispatcher) authenticate(j *job, c *Configuration) *radishspoke.Failure {
	if !c.Table.KeysRequired || j.rule.Open {
		return nil
	}
	key, err := c.Keys.Check(j.incoming.Secret)
	if errors.Is(err, authenticator.ErrStaleConfig) {
		return notRunFailure(http.StatusServiceUnavailable, "standing", err.Error(), startRetryAfter)
	}
	if err != nil {
		return notRunFailure(http.StatusUnauthorized, "key", err.Error(), 0)
	}
	for _, t := range c.Table.Teams {
		if t.Name == key.Team {
			j.team, j.key = t, key
			return nil
		}
	}
	return notRunFailure(http.StatusUnauthorized, "key", authenticator.ErrBadKey.Error(), 0)
}

// checkKey returns a failure if the key of a request may no longer start
// requests. It is called before each send because the key may have been withdrawn
// while the request waited. A stream that has begun may go on.
func (d *Dispatcher) checkKey(j *job) *radishspoke.Failure {
	if j.key.Hash == "" || j.firstEvent > 0 {
		return nil
	}
	err := d.Configurations.Configuration().Keys.Valid(j.key)
	switch {
	case err == nil:
		return nil
	case j.mayHaveRun:
		return d.failure(j, "key", err.Error())
	case errors.Is(err, authenticator.ErrStaleConfig):
		return notRunFailure(http.StatusServiceUnavailable, "standing", err.Error(), startRetryAfter)
	}
	return notRunFailure(http.StatusUnauthorized, "key", err.Error(), 0)
}
