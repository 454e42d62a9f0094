package fleetdispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/transport/eventreader"
	"radishspoke/transport/httpclient"
)

// attemptStream has an engine generate the answer and copies its events to the
// caller. If it returns retry, the stream may continue at another engine after
// the last event. It also returns the reason of a failure, or "" if there is none.
func (d *Dispatcher) attemptStream(ctx context.Context, j *job, aw *answerWriter, plan prefillPlan) (decision, string) {
	t := *plan.decoder
	j.current = t
	defer plan.end(0)
	begun := j.replacement
	j.replacement = nil
	if begun == nil {
		if !d.claim(j, plan) {
			d.unplan(j, plan)
			return d.placeAgain(ctx, j), errCold.Error()
		}
		j.visit(t)
		d.Router.Begin(t.ID)
	}
	delay := plan.headDelay()
	if plan.relay != nil {
		delay = 0 // the sidecar reports its progress
	}
	attemptCtx, timer := d.startAttempt(ctx, j, delay)
	defer timer.end(j)
	if begun == nil {
		sent := d.Clock.Now()
		r, took, err := d.openStream(attemptCtx, j, plan, timer)
		if err != nil {
			next, mayHaveRun := d.streamNotOpened(ctx, j, plan, timer, sent, err)
			if next == retry {
				next = d.decide(ctx, j, mayHaveRun, timer)
			}
			return next, err.Error()
		}
		begun = &replacement{reply: r, sent: sent, took: took}
	} else {
		timer.ask()
		defer context.AfterFunc(attemptCtx, begun.cancel)()
		defer begun.cancel()
	}
	r, took, sent := begun.reply, begun.took, begun.sent
	j.requested = true
	j.responseTime, j.framing = took, r.framing
	plan.end(took)
	defer r.Close()
	if r.NotRun {
		d.handleRefusal(ctx, j, plan, r, took)
		return d.decide(ctx, j, false, timer), "engine does not take the request now"
	}
	report := plan.newReport(ctx, r, nil, took)
	d.Router.Reported(t.ID, report)
	defer func() { d.Router.End(t.ID, report) }()
	j.markRun(t.ID)
	defer d.Forecaster.BeginStream(j.group.Name, j.incoming.Generation.Prompt+j.incoming.Generation.Output)()
	answered := d.Clock.Now()
	if plan.prefillID != "" {
		link := j.group.Engine.TransferTime(j.incoming.Generation.Prompt)
		j.prefillEnd = answered - took
		d.Estimator.ObserveTransfer(j.group.Name, took, link)
		// The rest of the setup is the way to the engine.
		d.Forecaster.ObserveTransfer(j.group.Name, link+d.Estimator.Timing(j.group.Name).TransferSetup/2)
	}
	if !r.Stamped {
		return d.decide(ctx, j, true, timer), "answer does not come from a target"
	}
	if r.Status != http.StatusOK {
		var body io.Reader = r
		if j.idempotent() {
			kept, err := aw.keepAnswer(r)
			switch {
			case errors.Is(err, errLongAnswer):
				body = io.MultiReader(bytes.NewReader(kept.body), r)
			case err != nil:
				return d.decide(ctx, j, true, timer), err.Error()
			default:
				j.failed = kept
				return d.decide(ctx, j, true, timer), "engine failed"
			}
		}
		if !timer.hold() {
			return d.decide(ctx, j, true, timer), errSilent.Error()
		}
		if aw.started {
			return finished, "engine failed"
		}
		if err := aw.copyAnswer(r.Status, r.Header, body); err != nil {
			return finished, err.Error()
		}
		return finished, ""
	}
	d.recordResumption(j)
	err := d.copyEvents(j, aw, r, timer)
	d.Recorder.ObserveStream(string(r.framing), err == nil, j.partial > 0)
	if err == nil {
		d.Quarantine.Completed(j.subject())
		d.Estimator.ObserveOutput(j.group.Name, j.incoming.Generation.Output, j.lastEvent-j.firstEvent)
		if j.incoming.Resumes == "" {
			d.Estimator.ObserveOutputShare(j.group.Name, j.incoming.Generation.Output, j.events)
		}
		return finished, ""
	}
	report.Failed, report.Inconclusive = true, ctx.Err() != nil
	report.Silent = timer.finish(j)
	if ctx.Err() == nil && !report.Silent {
		d.handleBreak(j, t, sent, err)
	}
	return d.decide(ctx, j, true, timer), err.Error()
}

// openStream sends a request to the decode engine, directly or through the
// sidecar of the prefill engine. It also returns the time that the decode engine
// took to answer.
func (d *Dispatcher) openStream(ctx context.Context, j *job, plan prefillPlan, timer *attemptTimer) (*reply, time.Duration, error) {
	if plan.relay != nil {
		return d.relay(ctx, j, plan, timer)
	}
	timer.ask()
	start := d.Clock.Now()
	r, err := d.send(ctx, j, *plan.decoder, platform.TargetHeader{CacheSource: plan.handle, Urgent: plan.endTurn == nil && plan.handle == nil, Hold: plan.holdID()})
	return r, d.Clock.Now() - start, err
}

// handleRefusal handles the answer of a decode engine that does not take a request. The KV cache
// is kept if the engine has not looked at it, and once if engines are full and holds can be taken
// at others.
func (d *Dispatcher) handleRefusal(ctx context.Context, j *job, plan prefillPlan, r *reply, took time.Duration) {
	d.Router.End(plan.decoder.ID, plan.newReport(ctx, r, nil, took))
	d.dropHold(plan.hold)
	full := lacksRoom(r.Status, r.AnswerHeader) && plan.hold == nil && !plan.keptFull && d.holdsInUse(j)
	if plan.handle != nil && (full || r.Status == http.StatusMisdirectedRequest) {
		// The engine is full, or has changed its role.
		plan.decoder, plan.endTurn, plan.hold = nil, nil, nil
		plan.keptFull = plan.keptFull || full
		j.kept = &plan
		return
	}
	if plan.prefillID != "" {
		j.excluded[plan.prefillID] = true // its KV cache may have caused the refusal
	}
	relayer.ReleaseHandle(d.Targets, plan.handle, d.Log)
}

// streamNotOpened handles an attempt, sent at the given time, that failed before a
// decode engine answered. It returns finished if no further attempt is of use, and whether
// an engine may have run the request.
func (d *Dispatcher) streamNotOpened(ctx context.Context, j *job, plan prefillPlan, timer *attemptTimer, sent time.Duration, err error) (next decision, mayHaveRun bool) {
	t := *plan.decoder
	defer func() {
		if !mayHaveRun {
			d.dropHold(plan.hold)
		}
	}()
	switch {
	case errors.Is(err, relayer.ErrDeclined):
		d.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
		if errors.Is(err, relayer.ErrNotPrefilled) {
			delete(j.excluded, t.ID)
		}
		if ctx.Err() != nil {
			return finished, false
		}
		return direct, false
	case errors.Is(err, relayer.ErrNotAccepted) || errors.Is(err, relayer.ErrHoldEnded):
		d.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
		delete(j.excluded, t.ID)
		if ctx.Err() != nil {
			return finished, false
		}
		j.noRelay = true
		return direct, false
	case errors.Is(err, sequencer.ErrDeadlineUnreachable):
		d.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
		j.unreachable = true
		return finished, false
	case errors.Is(err, relayer.ErrNotPrefilled):
		d.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
		delete(j.excluded, t.ID)
		if errors.Is(err, relayer.ErrNoResponse) && ctx.Err() == nil {
			d.handleBreak(j, *plan.relay, sent, err)
		}
		if j.breaks >= maxBreaks {
			return finished, false
		}
		return retry, false
	case errors.Is(err, httpclient.ErrNotSent):
		d.Router.End(t.ID, plan.newReport(ctx, nil, err, 0))
		relayer.ReleaseHandle(d.Targets, plan.handle, d.Log)
		return retry, false
	}
	report := plan.newReport(ctx, nil, err, 0)
	report.Silent = timer.finish(j)
	report.Inconclusive = report.Inconclusive || timer != nil && !timer.asked
	d.Router.End(t.ID, report)
	j.requested = true
	j.markRun(t.ID)
	d.Targets.CloseIdle(t.Address)
	if ctx.Err() == nil && !report.Silent {
		d.handleBreak(j, t, sent, err)
	}
	return retry, true
}

// newReport returns the report to the router about the outcome of a send,
// including the source of the KV cache.
func (p prefillPlan) newReport(ctx context.Context, r *reply, err error, took time.Duration) fleetrouter.Report {
	out := newReport(ctx, r, err)
	out.Source, out.ResponseTime = p.prefillID, took
	return out
}

// copyEvents copies the events of a stream to the caller. It returns an error if
// reading from the engine or writing to the caller fails.
func (d *Dispatcher) copyEvents(j *job, aw *answerWriter, r *reply, timer *attemptTimer) error {
	pending := eventBuffer{conn: aw.conn}
	defer pending.release()
	buffer := make([]byte, copyBuffer)
	restart := d.restartTime(j)
	if !timer.hold() {
		return errSilent
	}
	timer.reset(j, maxSilence(j, d.Clock.Now(), restart))
	j.partial = 0
	empty := true
	for {
		n, err := r.Read(buffer)
		empty = empty && n == 0
		if err := pending.append(buffer[:n]); err != nil {
			return err
		}
		if end := eventreader.End(pending.data); end > 0 {
			if !timer.hold() {
				return errSilent
			}
			events, foreign := eventreader.BeforeResponse(pending.data[:end])
			if len(events) > 0 {
				if err := d.forwardEvents(j, aw, r, events); err != nil {
					return err
				}
			}
			if foreign {
				return eventreader.ErrBrokenOff
			}
			pending.drop(end)
			// Only whole events show that the engine goes on.
			timer.reset(j, maxSilence(j, d.Clock.Now(), restart))
		}
		j.partial = len(pending.data)
		if errors.Is(err, io.EOF) {
			// A head that a failing target has ended early may lack the media type by
			// which the client of targets knows a stream.
			if len(pending.data) > 0 || empty && r.framing == httpclient.UntilClose {
				return eventreader.ErrBrokenOff
			}
			if !timer.hold() {
				return errSilent
			}
			return d.forwardEvents(j, aw, r, nil)
		}
		if err != nil {
			return err
		}
	}
}

// forwardEvents sends events to the caller, and the header before the first one.
// If events is empty, it only sends the header.
func (d *Dispatcher) forwardEvents(j *job, aw *answerWriter, r *reply, events []byte) error {
	if len(events) == 0 {
		if !aw.started {
			aw.writeStreamHead(r.Status, r.Header)
		}
		return nil
	}
	now := d.Clock.Now()
	if !aw.started {
		d.countBegun(j)
		d.Recorder.ObserveFirstToken(j.team.Name, j.rule.Name, now-j.arrived)
		j.firstEvent = now
		if j.prefillEnd > 0 {
			d.Estimator.ObserveFirstEvent(j.group.Name, now-j.prefillEnd)
		}
		aw.writeStreamHead(r.Status, r.Header)
	} else {
		j.longestGap = max(j.longestGap, now-j.lastEvent)
	}
	j.lastEvent = now
	j.events += bytes.Count(events, eventEnd)
	j.startBy = min(j.deadline, now+patience(j.rule))
	if err := aw.write(events); err != nil {
		return err
	}
	if id := lastEventID(events); id != "" {
		j.incoming.LastEvent = id
	}
	return nil
}

var (
	idField  = []byte("\nid:")
	eventEnd = []byte("\n\n")
)

// lastEventID returns the last id among events, or "" if there is none.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, idField)
	switch {
	case i >= 0:
		events = events[i+len(idField):]
	case bytes.HasPrefix(events, idField[1:]):
		events = events[len(idField)-1:]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}

var _ Router = (*fleetrouter.Router)(nil)
