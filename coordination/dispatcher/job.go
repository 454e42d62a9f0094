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

func (j *job) outcome() radishspoke.Outcome {
	if j.started {
		return radishspoke.OutcomeUnknown
	}
	return radishspoke.OutcomeNotRun
}
