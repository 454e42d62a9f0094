package fleetdispatcher

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/platform"
	"radishspoke/transport/budgeter"
	"radishspoke/transport/httpclient"
)

// job holds the state of one request. Points in time are on the clock of the
// process.
type job struct {
	incoming platform.CallerHeader
	table    *radishspoke.RoutingTable // that admitted the request; it does not change until the end
	rule     radishspoke.PathRule
	group    radishspoke.Group
	team     radishspoke.TeamRule
	key      radishspoke.Key // key of the caller; empty on open routes
	regions  []string        // to which the request may go; nil for all, empty for none

	method, target, host string
	header               http.Header // without the headers that the system sets itself
	body                 []byte

	// fingerprint identifies the request among its repetitions, which have other ids.
	fingerprint string

	// rank and work order the prompts that wait. See sequencer.Ticket.
	rank, work int

	arrived  time.Duration
	admitted time.Duration
	deadline time.Duration
	onTime   time.Duration // latest time of an answer that meets the objective of the route

	// startBy is the latest time of the next event of a stream. Callers disconnect
	// after that.
	startBy time.Duration

	excluded   map[string]bool // ids of the targets that must not be tried again
	mayHaveRun bool            // a target may have run the request
	counted    bool            // the request is counted as begun
	ran        []string        // ids of the targets that may have run the request
	silent     []string        // ids of the targets that were left because they were silent
	breaks     int             // number of engines that have broken the request off
	trial      bool            // the request is suspected to crash targets, and may be sent once
	visited    string          // comma-separated ids of the targets, for the log

	unreachable bool // the prompt cannot be prefilled before the deadline
	noRelay     bool // send the request to the engines directly
	noHold      bool // send the request without a hold
	requested   bool // an engine was asked for the answer

	// kept is a prefill whose KV cache is still held for the request, after an engine
	// that does not decode any more had been asked for the answer. It is nil if there
	// is none.
	kept *prefillPlan

	// successor is a target that is reserved for the next attempt; nil if there is none.
	// Replacement is the next attempt if its target has begun to answer, or nil. Credits is the
	// number of retries taken from the budget in advance.
	successor   *radishspoke.Instance
	replacement *replacement
	credits     int

	failed *keptAnswer // of the last target that answered with a failure; nil if none did

	// queueTime is the time that the prompt waited to be prefilled, prefill the
	// time that its prefill took, and responseTime the time that the last target
	// took to answer.
	queueTime, prefill, responseTime time.Duration

	prefillEnd time.Duration // time at which another engine had prefilled the prompt; 0 if none has

	current radishspoke.Instance // target of the current attempt

	// software is the version of the software that began the stream. It is empty before
	// the first event of a new stream, and if the version is not known.
	software string

	framing httpclient.Framing // of the last answer of a target; empty if there was none
	partial int                // bytes after the last whole event, when the last stream ended
	events  int                // forwarded to the caller; each stands for an output token

	// firstEvent and lastEvent are the times of the first and the newest event,
	// and longestGap is the longest time between two events.
	firstEvent, lastEvent, longestGap time.Duration
}

// newFingerprint returns what a request has in common with its repetitions by the same
// caller, at this process and at others: method, host, path, key and body.
func (j *job) newFingerprint() string {
	d := xxhash.New()
	for _, s := range []string{j.method, j.host, j.target, j.key.Hash} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// Callers of streams disconnect if no event arrives for the longest of minPatience,
// objectivePatience objectives and pausePatience pauses of the route, also before the
// first event.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	pausePatience     = 8
)

// patience returns the longest time for which the callers of a streaming route wait
// for an event.
func patience(r radishspoke.PathRule) time.Duration {
	return max(minPatience, objectivePatience*r.Objective, pausePatience*r.Pause)
}

// plain reports whether the request goes to one target that answers it, and not to engines.
func (j *job) plain() bool {
	return j.group.Engine == nil || j.incoming.Generation == nil
}

// answerRole returns the role of the targets that answer the request.
func (j *job) answerRole() radishspoke.Role {
	if j.plain() {
		return ""
	}
	return radishspoke.DecodeRole
}

// idempotent reports whether the request may run more than once. A stream may not if it has
// begun at a software version that is not known.
func (j *job) idempotent() bool {
	begun := j.firstEvent > 0 || j.incoming.LastEvent != ""
	return j.rule.Kind == radishspoke.Safe || j.rule.Kind == radishspoke.Streaming && j.rule.Resumable && (!begun || j.software != "")
}

// receiveBody reads the request body into j.body. It returns a failure if the
// body is longer than the configuration allows, does not arrive within the time of package budgeter, or
// does not fit into the memory that is left.
func (j *job) receiveBody(w http.ResponseWriter, r *http.Request) *radishspoke.Failure {
	most := budgeter.Limits(j.table.Limits).BodyBytes
	if r.ContentLength > most {
		return notRunFailure(http.StatusRequestEntityTooLarge, "body", "body is too long", 0)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	o := budgeter.BodyOptions{Size: r.ContentLength, Most: most, Owner: j.key.Hash}
	if !j.plain() {
		o.Copies = 2 // a sidecar gets it in a message
	}
	body, err := budgeter.ReadBody(http.MaxBytesReader(w, r.Body, most), budgeter.From(r.Context()), o)
	var long *http.MaxBytesError
	switch {
	case errors.Is(err, budgeter.ErrFull):
		return notRunFailure(http.StatusServiceUnavailable, "memory", err.Error(), budgeter.RetryAfter)
	case errors.As(err, &long):
		return notRunFailure(http.StatusRequestEntityTooLarge, "body", "body is too long", 0)
	case err != nil:
		return notRunFailure(http.StatusRequestTimeout, "body", "body did not arrive: "+err.Error(), 0)
	}
	j.body = body
	return nil
}

// chargedTokens returns the number of tokens that the team is charged for the
// request.
func (j *job) chargedTokens() float64 {
	if g := j.incoming.Generation; g != nil {
		return float64(g.Prompt + g.Output)
	}
	return j.team.PlainTokens
}

// maxGenerationTime returns the time that the generation of the answer takes at
// most, as learned from other answers.
func (d *Dispatcher) maxGenerationTime(j *job) time.Duration {
	if j.incoming.Generation == nil {
		return 0
	}
	t := d.Estimator.Timing(j.group.Name)
	return t.FirstEvent + time.Duration(float64(j.incoming.Generation.Output)*t.OutputToken*float64(time.Second))
}

// timeLimit returns the time from its arrival within which the request must be
// answered: what the caller allows, and at most the timeout of the route.
func (j *job) timeLimit() time.Duration {
	limit := defaultDeadline
	if j.incoming.Deadline > 0 {
		limit = j.incoming.Deadline
	}
	if j.rule.Timeout > 0 {
		limit = min(limit, j.rule.Timeout)
	}
	return limit
}

// setLimits sets the times until which an answer is on time and useful.
func (j *job) setLimits() {
	j.onTime = j.arrived + j.rule.Objective
	j.startBy = j.deadline
	if j.rule.Kind == radishspoke.Streaming {
		j.startBy = min(j.deadline, j.arrived+patience(j.rule))
	}
}

// stopTime returns the time that a process which is shutting down must have left
// to accept a request with the given time limit. While the process closes, that is
// the time limit: the expected time of a generation is often exceeded. Before,
// callers may come back to this process when they are refused, and only
// generations that are not expected to end are.
func (d *Dispatcher) stopTime(j *job, limit time.Duration) time.Duration {
	t := stopMargin + d.maxGenerationTime(j)
	if g := j.incoming.Generation; g != nil {
		times := d.Estimator.Timing(j.group.Name)
		t += times.Prefill(g.Prompt) + times.Transfer
	}
	if d.Shutdown.Closing() {
		t = max(t, limit+limitMargin)
	}
	return t
}
