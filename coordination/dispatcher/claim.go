package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/claimer"
	"radishspoke/internal/disabler"
)

// errClaimed means that another request holds the claim on the idempotency key,
// and that this one must attach to it.
var errClaimed = errors.New("request was claimed before")

// claimRetryAfter is the Retry-After sent while claims cannot be written.
const claimRetryAfter = 5 * time.Second

// claim records the target of a request with an idempotency key, before the
// request is sent there. It returns errClaimed if another request with the same
// key already holds the claim, and a *radishspoke.Failure if the key cannot be
// used or the claim cannot be written.
func (d *Dispatcher) claim(ctx context.Context, j *job, t radishspoke.Target, incarnation uint64) error {
	if j.request.Claim == nil || disabler.Disabled(disabler.Claims) {
		return nil
	}
	r := claimer.Row{
		Request: j.executeID, Target: t.Name, Incarnation: incarnation,
		Fingerprint: j.request.Claim.Fingerprint, Time: time.Now().UTC(),
	}
	held, own, err := d.claims.Claim(ctx, j.request.Claim.Key, r, j.claim)
	switch {
	case errors.Is(err, claimer.ErrReused):
		return &radishspoke.Failure{Outcome: radishspoke.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Code: "idempotency_key_reused", Message: err.Error()}
	case errors.Is(err, claimer.ErrOld):
		return &radishspoke.Failure{Outcome: radishspoke.OutcomeUnknown, Status: http.StatusConflict, Code: "idempotency_key_old", Message: err.Error()}
	case err != nil:
		return &radishspoke.Failure{
			Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "claim_not_written",
			Message: "the idempotency key can't be recorded now", RetryAfter: claimRetryAfter,
		}
	}
	j.claim = held
	if !own {
		return errClaimed
	}
	return nil
}

// attachToClaimed attaches to the request that holds the claim. If that request
// did not run, the error wraps errTryAnother, and this request may replace the
// claim and be sent to a target itself.
func (d *Dispatcher) attachToClaimed(ctx context.Context, j *job) error {
	t, ok := d.target(j.claim.Target)
	if !ok {
		return &radishspoke.Failure{
			Outcome: radishspoke.OutcomeUnknown, Status: http.StatusConflict, Code: "target_gone",
			Message: fmt.Sprintf("a request with this key went to %s, which is gone", j.claim.Target),
		}
	}
	j.executeID, j.duplicate = j.claim.Request, true
	err := d.executeAt(ctx, j, t, j.claim.Incarnation, true)
	if errors.Is(err, errTryAnother) {
		j.duplicate = false
	}
	return err
}

// target returns the target with the name, and whether it exists.
func (d *Dispatcher) target(name string) (radishspoke.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Target(name)
}
