package executor

import (
	"context"
	"time"

	"radishspoke"
	"radishspoke/protocol/wire"
)

// cancelRequest serves the cancel method. A request that has not arrived yet is
// refused when it does.
func (x *Executor) cancelRequest(_ context.Context, q *wire.Cancel) (*wire.Ack, error) {
	x.mu.Lock()
	r, ok := x.records[q.RequestId]
	if !ok {
		x.refuse(q.RequestId, "cancelled before it came")
	}
	x.mu.Unlock()
	if ok {
		x.cancelIdempotent(r, "cancelled by the caller")
	}
	return &wire.Ack{}, nil
}

// cancelIdempotent cancels a request that no caller waits for, if the request is
// idempotent. Other requests continue, so that their effect is complete.
func (x *Executor) cancelIdempotent(r *record, reason string) {
	if !r.idempotent {
		return
	}
	if r.finish(nil, &wire.Failure{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: reason}, time.Now()) {
		r.cancel()
		if x.engine != nil {
			_ = x.engine.Cancel(x.ctx, r.id)
		}
	}
}

// sweepLoop calls sweep at every tick until the executor stops.
func (x *Executor) sweepLoop(ticks <-chan radishspoke.Tick) {
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-ticks:
			x.sweep(time.Now())
		}
	}
}

// sweep drops answers and records that have been kept for longer than AnswerKeep
// and RequestKeep, and cancels idempotent requests that have had no reader for
// DetachGrace.
func (x *Executor) sweep(now time.Time) {
	x.mu.Lock()
	var abandoned []*record
	for id, r := range x.records {
		r.mu.Lock()
		switch {
		case r.done() && now.Sub(r.finished) > x.settings.RequestKeep:
			delete(x.records, id)
		case r.done() && r.attached == 0 && now.Sub(r.finished) > x.settings.AnswerKeep && r.length() > 0:
			r.base = r.length()
			r.tokens, r.data = nil, nil
		case !r.done() && r.attached == 0 && r.idempotent && !r.detached.IsZero() && now.Sub(r.detached) > x.settings.DetachGrace:
			abandoned = append(abandoned, r)
		}
		r.mu.Unlock()
	}
	x.mu.Unlock()
	for _, r := range abandoned {
		x.cancelIdempotent(r, "no entry fetched the answer")
	}
}
