package fleetdispatcher

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
	"radishspoke/transport/httpclient"
)

// reply is an answer of a target that belongs to the request.
type reply struct {
	*httpclient.Response
	platform.AnswerHeader
}

// send sends a request to a target once. The errors are those of package httpclient.
func (f *Dispatcher) send(ctx context.Context, j *job, t radishspoke.Instance, o platform.TargetHeader) (*reply, error) {
	o.Instance, o.Remaining = t.ID, j.deadline-f.Clock.Now()
	r := j.request()
	a, err := f.Targets.Do(ctx, t.Address, r.Call(o))
	if err != nil {
		return nil, err
	}
	return &reply{Response: a, AnswerHeader: platform.DecodeAnswer(a.Status, a.Header)}, nil
}

// request returns the request in the form in which it is sent to targets.
func (j *job) request() relayer.Request {
	return relayer.Request{
		ID: j.incoming.ID, Method: j.method, Target: j.target, Host: j.host, Header: j.header, Body: j.body,
		Team: j.team.Name, LastEvent: j.incoming.LastEvent,
	}
}

// newReport returns the report of the outcome of a send to the placer.
func newReport(ctx context.Context, r *reply, err error) fleetrouter.Report {
	if err != nil {
		return fleetrouter.Report{Failed: true, NoResponse: true, Inconclusive: errors.Is(context.Cause(ctx), context.Canceled)}
	}
	return fleetrouter.Report{
		Failed: r.Status >= http.StatusInternalServerError && !r.NotRun, NotReady: r.NotRun,
		Waiting: r.Waiting, Slots: r.Slots,
	}
}

// decision tells whether a failed send may be followed by another one.
type decision int

const (
	settled decision = iota // no further attempt
	retry                   // another target may be tried
)

// decide returns what follows a send without an answer to pass on. The argument
// mayHaveRun states that the target may have run the request, and charged that
// the retry has already been taken from the budget.
func (f *Dispatcher) decide(ctx context.Context, j *job, mayHaveRun, charged bool) decision {
	if ctx.Err() != nil || f.Clock.Now() >= j.deadline {
		return settled
	}
	if mayHaveRun && (!j.idempotent() || j.attempts >= j.rule.Attempts) {
		return settled
	}
	if !charged && !f.RetryBudgets.Retry(j.group.Name) {
		return settled
	}
	return retry
}

// servePlain sends a request to the targets of a plain service until one answers
// or no further attempt is allowed.
func (f *Dispatcher) servePlain(ctx context.Context, j *job, s *answerWriter) *radishspoke.Failure {
	lastReason := "no target was tried"
	for {
		t, err := f.Router.PickPlain(j.group.Name, j.excluded)
		if err != nil {
			return f.failure(j, "target", lastReason+": "+err.Error())
		}
		if fail := f.checkKey(j); fail != nil {
			return fail
		}
		next, reason := f.attemptPlain(ctx, j, s, t)
		if next == settled {
			if reason == "" {
				return nil
			}
			return f.failure(j, "target", reason)
		}
		lastReason = reason
	}
}

// silenceFactor is the time, in multiples of the objective, that a target may
// take to send the response header of an idempotent request before another
// target is tried.
const silenceFactor = 2.0

// attemptPlain sends a plain request to one target and copies its answer to the
// caller.
func (f *Dispatcher) attemptPlain(ctx context.Context, j *job, s *answerWriter, t radishspoke.Instance) (decision, string) {
	j.visit(t)
	f.Router.Begin(t.ID)
	attemptCtx, p := f.attemptTimer(ctx, j)
	defer p.end()
	r, err := f.send(attemptCtx, j, t, platform.TargetHeader{})
	if err != nil {
		f.Router.End(t.ID, newReport(ctx, nil, err))
		mayHaveRun := !errors.Is(err, httpclient.ErrNotSent)
		if mayHaveRun {
			j.markRun()
			f.countBegun(j)
			f.Targets.CloseIdle(t.Address)
		}
		return f.decide(ctx, j, mayHaveRun, p.charged.Load()), err.Error()
	}
	defer r.Close()
	report := newReport(ctx, r, nil)
	if r.NotRun {
		f.Router.End(t.ID, report)
		return f.decide(ctx, j, false, p.charged.Load()), "target refused the request for now"
	}
	j.markRun()
	f.countBegun(j)
	defer f.Router.End(t.ID, report)
	if !r.Stamped {
		return f.decide(ctx, j, true, p.charged.Load()), "answer does not bear the stamp of a target"
	}
	if r.Status >= http.StatusInternalServerError && j.rule.Kind == radishspoke.Safe && f.decide(ctx, j, true, p.charged.Load()) == retry {
		return retry, "target answered with a server error"
	}
	p.reset(j.deadline - f.Clock.Now())
	if err := s.copyAnswer(r.Status, r.Header, r); err != nil {
		if s.started {
			return settled, err.Error()
		}
		return f.decide(ctx, j, true, p.charged.Load()), err.Error()
	}
	return settled, ""
}

// attemptTimer cancels an attempt without progress if the request is idempotent
// and attempts, time and retry budget are left for another one.
type attemptTimer struct {
	timeout time.Duration // time without progress
	cancel  context.CancelFunc
	timer   *time.Timer // nil if the attempt is not bounded
	charged atomic.Bool // the retry has been taken from the budget
}

// attemptTimer returns the context of one attempt of a request and its timer.
func (f *Dispatcher) attemptTimer(ctx context.Context, j *job) (context.Context, *attemptTimer) {
	ctx, cancel := context.WithCancel(ctx)
	timeout := time.Duration(silenceFactor * float64(j.rule.Objective))
	p := &attemptTimer{timeout: timeout, cancel: cancel}
	if j.idempotent() && j.attempts+1 < j.rule.Attempts && f.Clock.Now()+2*timeout < j.deadline {
		p.timer = time.AfterFunc(timeout, func() {
			if f.RetryBudgets.Retry(j.group.Name) {
				p.charged.Store(true)
				cancel()
			}
		})
	}
	return ctx, p
}

// reset restarts the timer with the duration d.
func (p *attemptTimer) reset(d time.Duration) {
	if p.timer != nil {
		p.timer.Reset(d)
	}
}

// end stops the timer and cancels the context of the attempt.
func (p *attemptTimer) end() {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.cancel()
}

// visit records that a request goes to a target and excludes the target from
// further attempts.
func (j *job) visit(t radishspoke.Instance) {
	j.excluded[t.ID] = true
	if j.visited != "" {
		j.visited += ","
	}
	j.visited += t.ID
}

// markRun records that a target may have run the request.
func (j *job) markRun() {
	j.mayHaveRun = true
	j.attempts++
}

// countBegun counts a request as begun, once.
func (f *Dispatcher) countBegun(j *job) {
	if j.counted {
		return
	}
	j.counted = true
	if j.team.Name != "" {
		f.Usage.Begun(j.team.Name)
	}
}
