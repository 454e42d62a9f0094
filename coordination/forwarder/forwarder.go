package forwarder

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/authenticator"
	"radishspoke/coordination/placer"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/transport/caller"
)

// Tables gives the newest configuration, or nil.
type Tables interface {
	Table() *radishspoke.RoutingTable
}

// Keys checks callers' keys.
type Keys interface {
	// Check returns the key of a secret. The error is one of package
	// authenticator.
	Check(secret string) (radishspoke.Key, error)

	// Valid returns nil if a key that was checked before may still start
	// work.
	Valid(k radishspoke.Key) error
}

// Proofs tells how long keys can be trusted.
type Proofs interface {
	// Until returns the time on the clock until which the configuration at
	// hand can be trusted to have all withdrawals.
	Until() time.Duration
}

// Limits holds teams to their rates.
type Limits interface {
	// Admit charges tokens to a team. If the team is over its rate, it
	// returns false and when to come back.
	Admit(t radishspoke.TeamRule, tokens float64) (retryAfter time.Duration, ok bool)

	// Refund takes back the charge for a request that did not run.
	Refund(t radishspoke.TeamRule, tokens float64)
}

// Repeats is the budget of requests that are sent more than once.
type Repeats interface {
	// Request notes a first send to a group, Repeat asks for another one.
	Request(group string)
	Repeat(group string) bool
}

// Usage counts what began to run.
type Usage interface {
	Begun(team string)
}

// Placer chooses targets.
type Placer interface {
	PickPrefill(group string, g *radishspoke.Generating, queueDelay placer.QueueDelay, exclude map[string]bool) (radishspoke.Instance, time.Duration, error)
	PickDecode(group, from string, exclude map[string]bool) (radishspoke.Instance, error)
	PickShort(group string, exclude map[string]bool) (radishspoke.Instance, error)
	PickPlain(group string, exclude map[string]bool) (radishspoke.Instance, error)
	DecodeSaturated(group string) bool
	Begin(target string)
	End(target string, r placer.Report)
}

// Turns orders the prompts that engines read.
type Turns interface {
	ExpectedDelay(engine string) time.Duration
	Wait(ctx context.Context, engine string, t sequencer.Ticket) (func(took time.Duration), error)
}

// Relays takes requests through two engines beside the first one.
type Relays interface {
	Worthwhile(engine string, size int) bool
	ExpectedDelay(engine string) (time.Duration, bool)
	Do(ctx context.Context, engine string, o *relayer.Order, p relayer.Progress) (*caller.Answer, relayer.Stats, error)
}

// Targets makes calls to targets.
type Targets interface {
	Do(ctx context.Context, address string, c *caller.Call) (*caller.Answer, error)
	Forget(address string)
}

// Recorder counts requests.
type Recorder interface {
	Request(team, route string, outcome radishspoke.Outcome, status int, took time.Duration)
	FirstToken(team, route string, took time.Duration)
}

// Stop tells of a planned stop of this process.
type Stop interface {
	// Remaining returns the time within which new requests must be answered,
	// if a stop is under way.
	Remaining() (time.Duration, bool)
}

// Parts are what a Forwarder works with.
type Parts struct {
	Tables   Tables
	Keys     Keys
	Proofs   Proofs
	Limits   Limits
	Repeats  Repeats
	Usage    Usage
	Placer   Placer
	Turns    Turns
	Relays   Relays
	Targets  Targets
	Recorder Recorder
	Stop     Stop
	Clock    radishspoke.Clock
	Log      *slog.Logger
}

// Forwarder serves callers. Make it with New.
type Forwarder struct{ Parts }

// New returns a Forwarder of parts.
func New(p Parts) *Forwarder { return &Forwarder{Parts: p} }

const (
	// defaultDeadline bounds requests whose callers and routes state none.
	defaultDeadline = 30 * time.Second

	// mostBody is the longest body, in bytes.
	mostBody = 4 << 20

	// bodyTime bounds the time that a body takes to arrive.
	bodyTime = 10 * time.Second

	// tokenTime is the time that an engine takes for one token of an answer
	// when it is full, at most.
	tokenTime = 2 * time.Millisecond

	// leaveTime is the least time that is left for requests that a stopping
	// process takes.
	leaveTime = time.Second

	// startPause is when to come back while no configuration is known.
	startPause = 300 * time.Millisecond

	// stopPause is when to come back to another entry.
	stopPause = 20 * time.Millisecond
)

// job is one request on its way.
type job struct {
	in    platform.Incoming
	rule  radishspoke.PathRule
	group radishspoke.Group
	team  radishspoke.TeamRule
	key   radishspoke.Key // that let it in; empty on open routes

	method, target, host string
	header               http.Header // without what is the system's to set
	body                 []byte

	arrived  time.Duration
	deadline time.Duration
	onTime   time.Duration

	tried map[string]bool // targets that may not be tried again
	sent  bool            // a target may have run the request
	begun bool            // it is counted as begun
	tries int             // targets that may have run it
	path  string          // of targets, for the log

	hopeless bool // the prompt can't be read in time
	direct   bool // no sidecar takes it

	// turn is how long the prompt waited for its turn, read how long its
	// reading took, and sendoff how long the last target took to answer.
	turn, read, sendoff time.Duration

	// first is when the first event came, last the newest one, and pause the
	// longest time between two.
	first, last, pause time.Duration
}

// idempotent tells whether the request may run more than once.
func (j *job) idempotent() bool {
	return j.rule.Kind == radishspoke.Safe || j.rule.Kind == radishspoke.Streaming && j.rule.Resumable
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{arrived: f.Clock.Now(), method: r.Method, target: r.RequestURI, host: r.Host, tried: map[string]bool{}}
	if fail := f.admit(j, w, r); fail != nil {
		f.refuse(w, j, fail)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), j.deadline-f.Clock.Now())
	defer cancel()
	s := &sink{w: w}
	fail := f.serve(ctx, j, s)
	if fail != nil && !j.sent && j.team.Name != "" {
		f.Limits.Refund(j.team, j.tokens())
	}
	switch {
	case r.Context().Err() != nil:
		f.note(j, 0, "caller left")
		panic(http.ErrAbortHandler)
	case fail == nil:
		f.note(j, s.status, "answered")
	case s.started:
		f.note(j, s.status, "broken off: "+fail.Message)
		panic(http.ErrAbortHandler)
	default:
		f.refuse(w, j, fail)
	}
}

// serve sends a request to targets until there is an answer.
func (f *Forwarder) serve(ctx context.Context, j *job, s *sink) *radishspoke.Failure {
	f.Repeats.Request(j.group.Name)
	if j.group.Engine != nil && j.in.Generating != nil {
		return f.generate(ctx, j, s)
	}
	return f.plain(ctx, j, s)
}

// admit fills in a job, or says why it is refused.
func (f *Forwarder) admit(j *job, w http.ResponseWriter, r *http.Request) *radishspoke.Failure {
	var err error
	if j.in, err = platform.DecodeRequest(r.Header); err != nil {
		return notRun(http.StatusBadRequest, "header", err.Error(), 0)
	}
	table := f.Tables.Table()
	if table == nil {
		return notRun(http.StatusServiceUnavailable, "starting", "no configuration is known yet", startPause)
	}
	rule, ok := match(table, r.Host, r.URL.EscapedPath())
	if !ok {
		return notRun(http.StatusNotFound, "route", "no route leads to this path", 0)
	}
	j.rule = rule
	if left, stopping := f.Stop.Remaining(); stopping && left < leaveTime+j.generation() {
		return notRun(http.StatusServiceUnavailable, "stopping", "this entry stops before the answer would be whole", stopPause)
	}
	if fail := f.authenticate(j, table); fail != nil {
		return fail
	}
	if fail := j.takeBody(w, r); fail != nil {
		return fail
	}
	j.header = platform.Forwarded(r.Header)
	j.group = table.Groups[choose(rule, j.in.ID)]
	limit := defaultDeadline
	if j.in.Deadline > 0 {
		limit = j.in.Deadline
	}
	if rule.Timeout > 0 {
		limit = min(limit, rule.Timeout)
	}
	j.deadline = j.arrived + limit
	j.onTime = j.arrived + rule.Objective
	if j.team.Name == "" {
		return nil
	}
	if after, ok := f.Limits.Admit(j.team, j.tokens()); !ok {
		return notRun(http.StatusTooManyRequests, "rate", "the team is over its rate", after)
	}
	return nil
}

// authenticate finds the team of a request.
func (f *Forwarder) authenticate(j *job, table *radishspoke.RoutingTable) *radishspoke.Failure {
	if !table.Keyed || j.rule.Open {
		return nil
	}
	key, err := f.Keys.Check(j.in.Secret)
	if errors.Is(err, authenticator.ErrStanding) {
		return notRun(http.StatusServiceUnavailable, "standing", err.Error(), startPause)
	}
	if err != nil {
		return notRun(http.StatusUnauthorized, "key", err.Error(), 0)
	}
	for _, t := range table.Teams {
		if t.Name == key.Team {
			j.team, j.key = t, key
			return nil
		}
	}
	return notRun(http.StatusUnauthorized, "key", authenticator.ErrBadKey.Error(), 0)
}

// withdrawn returns the failure of a request whose key may no longer start work:
// it is asked before each send, as a request may have waited long.
func (f *Forwarder) withdrawn(j *job) *radishspoke.Failure {
	if j.key.Hash == "" {
		return nil
	}
	err := f.Keys.Valid(j.key)
	switch {
	case err == nil:
		return nil
	case j.sent:
		return f.failed(j, "key", err.Error())
	case errors.Is(err, authenticator.ErrStanding):
		return notRun(http.StatusServiceUnavailable, "standing", err.Error(), startPause)
	}
	return notRun(http.StatusUnauthorized, "key", err.Error(), 0)
}

// takeBody takes the body in.
func (j *job) takeBody(w http.ResponseWriter, r *http.Request) *radishspoke.Failure {
	if r.ContentLength > mostBody {
		return notRun(http.StatusRequestEntityTooLarge, "body", "body is too long", 0)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength != 0 {
		// Time limits of the connection can't be set on test writers.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
		defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	}
	body, err := readBody(http.MaxBytesReader(w, r.Body, mostBody), r.ContentLength)
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return notRun(http.StatusRequestEntityTooLarge, "body", "body is too long", 0)
	case err != nil:
		return notRun(http.StatusRequestTimeout, "body", "body did not arrive: "+err.Error(), 0)
	}
	j.body = body
	return nil
}

// tokens is what a request is charged.
func (j *job) tokens() float64 {
	if g := j.in.Generating; g != nil {
		return float64(g.Prompt + g.Output)
	}
	return j.team.PlainTokens
}

// generation is the time that the answer may take to be generated.
func (j *job) generation() time.Duration {
	if j.in.Generating == nil {
		return 0
	}
	return time.Duration(j.in.Generating.Output) * tokenTime
}

// match returns the rule with the longest prefix of a path.
func match(t *radishspoke.RoutingTable, host, path string) (radishspoke.PathRule, bool) {
	best := -1
	for i, r := range t.Rules {
		if r.Host == host && len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix &&
			(best < 0 || len(r.Prefix) > len(t.Rules[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return radishspoke.PathRule{}, false
	}
	return t.Rules[best], true
}

// choose draws a group by weight. The request's id decides, so that all
// processes draw alike.
func choose(r radishspoke.PathRule, id string) string {
	if len(r.Choices) == 1 {
		return r.Choices[0].Group
	}
	sum := 0.0
	for _, c := range r.Choices {
		sum += c.Weight
	}
	at := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * sum
	for _, c := range r.Choices {
		if at -= c.Weight; at < 0 {
			return c.Group
		}
	}
	return r.Choices[0].Group
}
