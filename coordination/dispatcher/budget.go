package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/limiter"
)

// charge takes the largest possible cost of the request from its team's budget.
// Requests without a team or a cost are not charged.
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
	case errors.Is(err, limiter.ErrUnreachable):
		return limiter.Receipt{}, &radishspoke.Failure{
			Outcome: radishspoke.OutcomeNotRun, Status: http.StatusServiceUnavailable, Code: "budget_unreachable",
			Message: fmt.Sprintf("team %s: %v", q.Team, err), RetryAfter: budgetRetryAfter,
		}
	case errors.Is(err, limiter.ErrTooLarge):
		return limiter.Receipt{}, &radishspoke.Failure{
			Outcome: radishspoke.OutcomeNotRun, Status: http.StatusBadRequest, Code: "request_too_large",
			Message: fmt.Sprintf("team %s: %v", q.Team, err),
		}
	}
	return limiter.Receipt{}, fmt.Errorf("charge team %s: %w", q.Team, err)
}

// settle returns the unused part of the charge to the budget. A request that was
// not started costs nothing, and a complete generation is charged by its length.
// An incomplete generation is charged in full, as it may have run to its end. A
// service call that was started costs the fixed amount of its route.
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

// budgetRetryAfter is the Retry-After sent while a budget cannot be charged. A
// budget without an owner gets a new one in this time, provided that the voters
// can be reached.
const budgetRetryAfter = 6 * time.Second
