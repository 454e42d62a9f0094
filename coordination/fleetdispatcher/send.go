package fleetdispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
	"radishspoke/transport/httpclient"
)

// reply is an answer of a target to a request.
type reply struct {
	*httpclient.Response
	platform.AnswerHeader

	framing httpclient.Framing // at the target, also of an answer that a sidecar relayed
	at      time.Duration      // time at which the answer began
}

// send sends a request to a target once. The errors are those of package httpclient.
func (d *Dispatcher) send(ctx context.Context, j *job, t radishspoke.Instance, o platform.TargetHeader) (*reply, error) {
	o.Instance, o.Remaining = t.ID, j.deadline-d.Clock.Now()
	r := j.request()
	a, err := d.Targets.Do(ctx, t.Address, r.Call(o))
	if err != nil {
		return nil, err
	}
	out := &reply{Response: a, AnswerHeader: platform.DecodeAnswer(a.Status, a.Header), framing: a.Framing, at: d.Clock.Now()}
	d.checkLoad(t, out.AnswerHeader)
	return out, nil
}

// request returns the request in the form in which it is sent to targets.
func (j *job) request() relayer.Request {
	return relayer.Request{
		ID: j.incoming.ID, Method: j.method, Target: j.target, Host: j.host, Header: j.header, Body: j.body,
		Team: j.team.Name, LastEvent: j.incoming.LastEvent,
	}
}

// newReport returns the report to the router about the outcome of a send.
func newReport(ctx context.Context, r *reply, err error) fleetrouter.Report {
	if err != nil {
		return fleetrouter.Report{Failed: true, NoResponse: true, Inconclusive: errors.Is(context.Cause(ctx), context.Canceled)}
	}
	return fleetrouter.Report{
		Failed: r.Status >= http.StatusInternalServerError && !r.NotRun, NotReady: r.NotRun,
		NoRoom:  lacksRoom(r.Status, r.AnswerHeader),
		Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Slowness: r.Slowness, At: r.at,
	}
}

// decision tells whether an attempt is followed by another one.
type decision int

const (
	finished decision = iota // no further attempt is made
	retry                    // another target may be tried
	direct                   // a sidecar has sent nothing; the request goes another way, without a retry
)

// decide returns whether a request is sent again after an attempt that gave no
// answer for the caller. The argument mayHaveRun tells whether the target may have
// run the request; timer is that of the attempt, or nil. Unless another target has begun
// to answer already, a retry is taken from the retry budget; decide returns finished if the
// budget is used up.
func (d *Dispatcher) decide(ctx context.Context, j *job, mayHaveRun bool, timer *attemptTimer) decision {
	timer.finish(j)
	if ctx.Err() != nil || d.Clock.Now() >= j.deadline {
		return finished
	}
	if j.replacement != nil {
		return retry
	}
	if mayHaveRun && (!j.idempotent() || len(j.ran) >= j.rule.Attempts && !j.mayReturn()) {
		return finished
	}
	if !d.takeRetry(j) {
		return finished
	}
	return retry
}

// servePlain sends a request to the targets of a plain service until one answers
// or no further attempt is allowed.
func (d *Dispatcher) servePlain(ctx context.Context, j *job, aw *answerWriter) *radishspoke.Failure {
	lastReason := "no target"
	for {
		t, fail := d.planPlain(j, lastReason)
		if fail != nil {
			return fail
		}
		next, reason := d.attemptPlain(ctx, j, aw, t)
		if next == finished {
			if reason == "" {
				return nil
			}
			return d.failure(j, "target", reason)
		}
		lastReason = reason
	}
}

// planPlain returns the target of the next attempt of a plain request. The reason is that of the
// last failure.
func (d *Dispatcher) planPlain(j *job, reason string) (radishspoke.Instance, *radishspoke.Failure) {
	if j.replacement != nil {
		return *j.replacement.plan.decoder, nil
	}
	if fail := d.checkQuarantine(j); fail != nil {
		return radishspoke.Instance{}, fail
	}
	t, err := d.Router.PickPlain(j.group.Name, j.selection())
	if err != nil && j.readmitSilent() {
		t, err = d.Router.PickPlain(j.group.Name, j.selection())
	}
	if err != nil && j.software != "" {
		return t, d.noVersion(j)
	}
	if err != nil {
		return t, d.noTarget(j, "", "target", reason+": "+err.Error())
	}
	if fail := d.checkKey(j); fail != nil {
		d.Router.Unpick(t.ID)
		return t, fail
	}
	return t, nil
}

// attemptPlain sends a plain request to one target, unless that has begun to answer it, and
// copies the answer to the caller. It also returns the reason of a failure, or "" if the answer
// was copied.
func (d *Dispatcher) attemptPlain(ctx context.Context, j *job, aw *answerWriter, t radishspoke.Instance) (decision, string) {
	j.current = t
	begun := j.replacement
	j.replacement = nil
	if begun == nil {
		if !d.Router.Claim(t.ID) {
			d.Router.Unpick(t.ID)
			return d.placeAgain(ctx, j), errCold.Error()
		}
		j.visit(t)
		d.Router.Begin(t.ID)
	}
	attemptCtx, timer := d.startAttempt(ctx, j, 0)
	defer timer.end(j)
	if begun == nil {
		timer.ask()
		sent := d.Clock.Now()
		r, err := d.send(attemptCtx, j, t, platform.TargetHeader{})
		if err != nil {
			return d.decide(ctx, j, d.plainNotAnswered(attemptCtx, j, t, sent, err, timer), timer), err.Error()
		}
		begun = &replacement{reply: r, sent: sent}
	} else {
		timer.ask()
		defer context.AfterFunc(attemptCtx, begun.cancel)()
		defer begun.cancel()
	}
	r, sent := begun.reply, begun.sent
	defer r.Close()
	j.framing = r.framing
	report := newReport(ctx, r, nil)
	report.ResponseTime = r.at - sent
	if r.NotRun {
		d.Router.End(t.ID, report)
		return d.decide(ctx, j, false, timer), "target does not take the request now"
	}
	j.markRun(t.ID)
	d.countBegun(j)
	d.Router.Reported(t.ID, report)
	defer func() { d.Router.End(t.ID, report) }()
	if !r.Stamped {
		return d.decide(ctx, j, true, timer), "answer does not come from a target"
	}
	var body io.Reader = r
	if r.Status >= http.StatusInternalServerError && j.rule.Kind == radishspoke.Safe {
		kept, err := aw.keepAnswer(r)
		switch {
		case errors.Is(err, errLongAnswer):
			body = io.MultiReader(bytes.NewReader(kept.body), r)
		case err != nil:
			return d.decide(ctx, j, true, timer), err.Error()
		default:
			j.failed = kept
			d.Quarantine.Completed(j.subject())
			return d.decide(ctx, j, true, timer), "target failed"
		}
	}
	if !timer.hold() {
		report.Silent = true
		return d.decide(ctx, j, true, timer), errSilent.Error()
	}
	d.recordResumption(j)
	if err := aw.copyAnswer(r.Status, r.Header, body); err != nil {
		if attemptCtx.Err() == nil {
			d.handleBreak(j, t, sent, err)
		}
		if aw.started {
			return finished, err.Error()
		}
		return d.decide(ctx, j, true, timer), err.Error()
	}
	d.Quarantine.Completed(j.subject())
	return finished, ""
}

// plainNotAnswered handles a plain request, sent to a target at the given time, that got no
// answer. It reports whether the target may have run the request. The timer may be nil.
func (d *Dispatcher) plainNotAnswered(ctx context.Context, j *job, t radishspoke.Instance, sent time.Duration, err error, timer *attemptTimer) (mayHaveRun bool) {
	report := newReport(ctx, nil, err)
	report.Silent = timer.finish(j)
	d.Router.End(t.ID, report)
	if errors.Is(err, httpclient.ErrNotSent) {
		return false
	}
	j.markRun(t.ID)
	d.countBegun(j)
	d.Targets.CloseIdle(t.Address)
	if ctx.Err() == nil {
		d.handleBreak(j, t, sent, err)
	}
	return true
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
func (j *job) markRun(target string) {
	j.mayHaveRun = true
	if !slices.Contains(j.ran, target) {
		j.ran = append(slices.Clip(j.ran), target) // copies of j share the list
	}
}

// mayReturn reports whether a target that may have run the request can be asked again.
func (j *job) mayReturn() bool {
	return len(j.silent) > 0 || slices.ContainsFunc(j.ran, func(id string) bool { return !j.excluded[id] })
}

// countBegun counts a request as begun, once.
func (d *Dispatcher) countBegun(j *job) {
	if j.counted {
		return
	}
	j.counted = true
	if j.team.Name != "" {
		d.Usage.Begun(j.team.Name)
	}
}
