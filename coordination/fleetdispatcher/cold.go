package fleetdispatcher

import (
	"context"

	"github.com/pkg/errors"
)

// errCold is the reason of an attempt that was not made because its target became cold, or has no
// permit for the request any more.
var errCold = errors.New("target is cold and takes no further request now")

// placeAgain returns the decision after an attempt in which nothing was sent. It takes no retry.
func (d *Dispatcher) placeAgain(ctx context.Context, j *job) decision {
	if ctx.Err() != nil || d.Clock.Now() >= j.deadline {
		return finished
	}
	return retry
}

// claim reports whether the request may be sent to the targets of a plan now. Through a sidecar it
// may not if one of them is cold: permits do not last while an order waits there. It is then
// sent directly by the next plan.
func (d *Dispatcher) claim(j *job, p prefillPlan) bool {
	if p.relay != nil && (d.Router.Cold(p.relay.ID) || d.Router.Cold(p.decoder.ID)) {
		j.noRelay = true
		return false
	}
	return d.Router.Claim(p.decoder.ID)
}

// unplan releases what is reserved for an attempt in which nothing was sent to the decode engine,
// except a prefill whose KV cache is kept for the next one.
func (d *Dispatcher) unplan(j *job, p prefillPlan) {
	if p.handle == nil {
		d.drop(p)
		return
	}
	d.Router.Unpick(p.decoder.ID)
	p.decoder, p.endTurn = nil, nil
	j.kept = &p
}
