package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/claimer"
	"radishspoke/coordination/router"
	"radishspoke/coordination/scheduler"
)

// job is the state of one request.
type job struct {
	request *radishspoke.Request
	sink    radishspoke.Sink
	work    router.Work
	cost    float64 // largest possible cost, in tokens
	item    scheduler.Item[*job]
	placed  chan placement
	target  string // name of the target that was chosen last
	began   bool   // whether Dispatcher.began was called for target
	start   time.Time

	// The times from start until the team was charged, the last target was
	// chosen, and the answer began.
	chargedAfter, placedAfter, firstAfter time.Duration

	// attempt is the number of Execute messages sent. position is the length
	// of the part of the answer that the sink has received, in tokens for a
	// generation and in bytes for a service call.
	attempt  uint32
	position uint64
	headSent bool
	usage    radishspoke.Usage

	failedRuns int // number of targets that have failed while they ran the request

	// started is set once a target may have begun to run the request.
	started bool

	// executeID is the ID of the request at sidecars. If the request has an
	// idempotency key, claim is the row that records the ID, and duplicate
	// is set if the ID belongs to another request with the same key.
	executeID string
	duplicate bool
	claim     claimer.VersionedRow

	// startedBefore is the value of started when the current target was
	// chosen.
	startedBefore bool
}

// placement is the result of waiting in the queue: a failure, or the chosen
// target if failure is nil.
type placement struct {
	choice  router.Choice
	failure *radishspoke.Failure
}

// newJob returns the job of a request, with its routing data and largest cost.
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

// asFailure returns err as a *radishspoke.Failure, with an outcome that says
// whether the request may have run.
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

// outcome returns OutcomeUnknown if a target may have begun to run the request,
// else OutcomeNotRun.
func (j *job) outcome() radishspoke.Outcome {
	if j.started {
		return radishspoke.OutcomeUnknown
	}
	return radishspoke.OutcomeNotRun
}
