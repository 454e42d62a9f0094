package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/claimer"
	"radishspoke/internal/breaker"
)

// errClaimed says that another request with the same idempotency key is to be
// attached to.
var errClaimed = errors.New("request was claimed before")

// storeRetryAfter is when to come back while claims can't be written.
const storeRetryAfter = 5 * time.Second

// claim writes down where a request with an idempotency key will run, before
// it is sent there.
func (d *Dispatcher) claim(ctx context.Context, j *job, t radishspoke.Target, incarnation uint64) error {
	if j.request.Claim == nil || breaker.Is(breaker.Claims) {
		return nil
	}
	r := claimer.Row{
		Request: j.executeID, Target: t.Name, Incarnation: incarnation,
		Fingerprint: j.request.Claim.Fingerprint, Time: time.Now().UTC(),
	}
	held, mine, err := d.claims.Claim(ctx, j.request.Claim.Key, r, j.claim)
	switch {
	case errors.Is(err, claimer.ErrReused):
		return &radishspoke.Failure{Outcome: radishspoke.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Code: "idempotency_key_reused", Message: err.Error()}
	case errors.Is(err, claimer.ErrOld):
		return &radishspoke.Failure{Outcome: radishspoke.OutcomeUnknown, Status: http.StatusConflict, Code: "idempotency_key_old", Message: err.Error()}
	case err != nil:
		return &radishspoke.Failure{
			Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "claim_not_written",
			Message: "the idempotency key can't be recorded now", RetryAfter: storeRetryAfter,
		}
	}
	j.claim = held
	if !mine {
		return errClaimed
	}
	return nil
}

// follow attaches to the request that holds the claim. If that did not run,
// this one may take the claim over and go to a target.
func (d *Dispatcher) follow(ctx context.Context, j *job) error {
	t, ok := d.target(j.claim.Target)
	if !ok {
		return &radishspoke.Failure{
			Outcome: radishspoke.OutcomeUnknown, Status: http.StatusConflict, Code: "target_gone",
			Message: fmt.Sprintf("a request with this key went to %s, which is gone", j.claim.Target),
		}
	}
	j.executeID, j.followed = j.claim.Request, true
	err := d.executeAt(ctx, j, t, j.claim.Incarnation, true)
	if errors.Is(err, errElsewhere) {
		j.followed = false
	}
	return err
}

func (d *Dispatcher) target(name string) (radishspoke.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Target(name)
}
