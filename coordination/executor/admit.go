package executor

import (
	"context"
	"time"

	"radishspoke/internal/disabler"
	"radishspoke/protocol/wire"
)

// admit returns the record of a request, which it creates if there is none, or a
// failure if the request is refused. The pipe for the request's body is not nil
// only if the record is new and the request is a service call.
func (x *Executor) admit(q *wire.Execute) (*record, *bodyPipe, *wire.Failure) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r, ok := x.records[q.RequestId]; ok && !disabler.Disabled(disabler.Deduplication) {
		return r, nil, nil
	}
	restarted := q.Incarnation != 0 && q.Incarnation != x.settings.Incarnation && !disabler.Disabled(disabler.IncarnationCheck)
	if q.Attach && restarted {
		return nil, nil, &wire.Failure{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "the sidecar was restarted", Elsewhere: true}
	}
	if reason := x.refusalReason(q, restarted); reason != "" {
		x.refuse(q.RequestId, reason)
		return nil, nil, &wire.Failure{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason, Elsewhere: true, Draining: x.draining()}
	}
	r := newRecord(q.RequestId, q.Idempotent, q.Generation != nil, q.Offset)
	x.records[q.RequestId] = r
	x.running++
	ctx, cancel := context.WithTimeout(x.ctx, time.Duration(q.RemainingMs)*time.Millisecond)
	r.cancel = cancel
	var upload *bodyPipe
	if q.Call != nil {
		upload = newBodyPipe()
	}
	x.group.Add(1)
	go func() {
		defer x.group.Done()
		defer cancel()
		x.run(ctx, r, q, upload)
	}()
	return r, upload, nil
}

// refusalReason returns why a request without a record is not started, or "" if
// it is. The caller must hold x.mu.
func (x *Executor) refusalReason(q *wire.Execute, restarted bool) string {
	switch {
	case q.Attach:
		return "the request never came"
	case restarted:
		return "the sidecar was restarted"
	case x.draining():
		return "the target is draining"
	case len(x.records) >= x.settings.MaxRecords:
		return "the sidecar remembers too many requests"
	case q.RemainingMs <= 0:
		return "the deadline has passed"
	case q.Generation != nil && x.engine == nil, q.Call != nil && x.service == nil, q.Generation == nil && q.Call == nil:
		return "the target is of another kind"
	}
	return ""
}

// refuse creates a record of a refused request, so that no request with the ID
// runs here while the record is kept. It creates none if there are MaxRecords
// already. The caller must hold x.mu.
func (x *Executor) refuse(id, reason string) {
	if len(x.records) >= x.settings.MaxRecords || disabler.Disabled(disabler.Tombstones) {
		return
	}
	r := newRecord(id, false, true, 0)
	r.failure = &wire.Failure{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason, Elsewhere: true}
	r.finished = time.Now()
	x.records[id] = r
}
