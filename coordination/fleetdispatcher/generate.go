package fleetdispatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/transport/callerwatcher"
)

// prefillPlan tells where the prompt of a request is prefilled. With the zero
// value, the decode engine prefills it. Turns are those of package sequencer.
type prefillPlan struct {
	relay     *radishspoke.Instance // prefill engine whose sidecar relays the request; nil if it is not relayed
	placement fleetrouter.Placement // of the prefill at that engine, or at the decode engine
	handle    *radishspoke.Handle   // of the KV cache, if another engine has prefilled the prompt
	prefillID string                // id of the prefill engine; empty if the decode engine prefills the prompt
	zone      string                // availability zone of the prefill engine
	decoder   *radishspoke.Instance // decode engine; nil if not chosen yet
	endTurn   func(time.Duration)   // ends the turn at the decode engine; nil if there is none
	hold      *hold                 // at the decode engine; nil if there is none
	keptFull  bool                  // the KV cache has been kept once after a full engine refused the request
}

// expectedWait returns how long a new prompt is expected to wait at an engine.
func (d *Dispatcher) expectedWait(engine string) time.Duration {
	return ExpectedWait(d.RelayClient, d.PromptQueue, engine)
}

// readSeparately reports whether a prompt is prefilled by another engine than the
// one that generates the answer. A decode engine prefills slowly and delays its
// answers meanwhile, so that this pays from the size on whose prefill takes longer
// than a transfer of the KV cache in addition. Shared parts count, as a decode engine
// may not hold them.
func (d *Dispatcher) readSeparately(j *job) bool {
	t := d.Estimator.Timing(j.group.Name)
	return t.PrefillToken*float64(j.incoming.Generation.Prompt) >= t.TransferSetup.Seconds()
}

// headDelay returns the expected time until the decode engine can begin to answer: that of the
// prefill if it comes after the send, at that engine or at a sidecar.
func (p prefillPlan) headDelay() time.Duration {
	if p.relay != nil {
		return p.placement.Wait + p.placement.Prefill
	}
	return p.placement.Prefill
}

// end ends the turn at the decode engine, if there is one.
func (p prefillPlan) end(took time.Duration) {
	if p.endTurn != nil {
		p.endTurn(took)
	}
}

// serveGeneration sends a request to the engines of a model until one has
// generated the answer or no further attempt is allowed.
func (d *Dispatcher) serveGeneration(ctx context.Context, j *job, aw *answerWriter) *radishspoke.Failure {
	lastReason := "no engine"
	for {
		p, fail := d.planAttempt(ctx, j, lastReason)
		if fail != nil {
			return fail
		}
		next, reason := d.attemptStream(ctx, j, aw, p)
		if next == finished {
			if j.kept != nil {
				relayer.ReleaseHandle(d.Targets, j.kept.handle, d.Log)
			}
			switch {
			case reason == "":
				return nil
			case j.unreachable:
				return d.failure(j, "queue", "the prompt can't be read before the deadline")
			}
			return d.failure(j, "engine", reason)
		}
		lastReason = reason
	}
}

// planAttempt decides where the prompt of the next attempt is prefilled and which engine
// generates the answer, unless that has begun in place of a silent attempt. The reason is that
// of the last failure.
func (d *Dispatcher) planAttempt(ctx context.Context, j *job, reason string) (prefillPlan, *radishspoke.Failure) {
	if j.replacement != nil {
		return j.replacement.plan, nil
	}
	if fail := d.checkQuarantine(j); fail != nil {
		if j.kept != nil {
			relayer.ReleaseHandle(d.Targets, j.kept.handle, d.Log)
		}
		return prefillPlan{}, fail
	}
	var p prefillPlan
	var fail *radishspoke.Failure
	if j.kept != nil {
		p, j.kept = *j.kept, nil
	} else if p, fail = d.planPrefill(ctx, j); fail != nil && (ctx.Err() != nil || !j.readmitSilent()) {
		return prefillPlan{}, fail
	}
	if fail = d.holdDecoder(ctx, j, &p); fail != nil {
		d.drop(p)
		return prefillPlan{}, fail
	}
	if p.decoder == nil {
		t, err := d.pickDecode(j, p)
		if err != nil && j.readmitSilent() {
			t, err = d.pickDecode(j, p)
		}
		if err != nil {
			d.drop(p)
			if j.software != "" {
				return prefillPlan{}, d.noVersion(j)
			}
			return prefillPlan{}, d.noTarget(j, radishspoke.DecodeRole, "engine", reason+": "+err.Error())
		}
		p.decoder = &t
	}
	if fail = d.checkKey(j); fail == nil {
		fail = d.checkQuarantine(j)
	}
	if fail != nil {
		d.drop(p)
		return prefillPlan{}, fail
	}
	return p, nil
}

// drop releases what is reserved for an attempt that is not made.
func (d *Dispatcher) drop(p prefillPlan) {
	for _, t := range []*radishspoke.Instance{p.relay, p.decoder} {
		if t != nil {
			d.Router.Unpick(t.ID)
		}
	}
	d.dropHold(p.hold)
	relayer.ReleaseHandle(d.Targets, p.handle, d.Log)
	p.end(0)
}

// pickDecode chooses the engine that generates the answer.
func (d *Dispatcher) pickDecode(j *job, p prefillPlan) (radishspoke.Instance, error) {
	if p.prefillID == "" {
		return d.Router.PickShort(j.group.Name, j.selection())
	}
	return d.Router.PickDecode(j.group.Name, p.zone, j.selection())
}

// planPrefill decides where the prompt is prefilled, and picks the decode engine before
// that if decode engines have limits. A short prompt needs neither a turn nor an engine of
// its own. See prefillAt for the others.
func (d *Dispatcher) planPrefill(ctx context.Context, j *job) (prefillPlan, *radishspoke.Failure) {
	if !d.readSeparately(j) {
		return prefillPlan{}, nil
	}
	// Only the first prefill of a request is free. The retry that was taken from the
	// budget for this attempt covers the request for the answer.
	if j.requested && !d.takeRetry(j) {
		return prefillPlan{}, d.failure(j, "engine", "no retry is left to read the prompt again")
	}
	firstEvent := d.Estimator.Timing(j.group.Name).FirstEvent
	if d.Router.DecodeSaturated(j.group.Name, j.software) || d.lacksDecoder(j) {
		if j.software != "" {
			return prefillPlan{}, d.noVersion(j)
		}
		return prefillPlan{}, d.noTarget(j, radishspoke.DecodeRole, "engine", "no engine takes another answer now")
	}
	reserved, fail := d.reserveDecode(j)
	if fail != nil {
		return prefillPlan{}, fail
	}
	p, fail := d.prefillAt(ctx, j, firstEvent)
	switch {
	case reserved == nil:
	case fail == nil && p.decoder == nil && !d.Router.Leaving(reserved.ID):
		p.decoder = reserved
	default:
		d.Router.Unpick(reserved.ID)
	}
	return p, fail
}

// reserveDecode picks the decode engine of a request before its prompt is prefilled, if
// decode engines have limits: without one that takes the request, the prefill would be wasted
// work. It returns nil if none has a limit.
func (d *Dispatcher) reserveDecode(j *job) (*radishspoke.Instance, *radishspoke.Failure) {
	if !d.Router.Limited(j.group.Name, radishspoke.DecodeRole) {
		return nil, nil
	}
	t, err := d.Router.PickShort(j.group.Name, j.selection())
	if err != nil {
		return nil, d.noTarget(j, radishspoke.DecodeRole, "engine", err.Error())
	}
	return &t, nil
}

// prefillAt chooses the engine that prefills the prompt. If the request is to be relayed by
// the sidecar of that engine, prefillAt returns without waiting. Otherwise it waits for a turn
// at the engine and, if that is a prefill engine, has the prompt prefilled there. Where holds are
// in use, one is taken before either. FirstEvent is the time from the end of a prefill to the
// first event.
func (d *Dispatcher) prefillAt(ctx context.Context, j *job, firstEvent time.Duration) (prefillPlan, *radishspoke.Failure) {
	transfer := d.Estimator.Timing(j.group.Name).Transfer
	best := false
	for {
		p, err := d.Router.PickPrefill(j.group, j.incoming.Generation, d.expectedWait, j.startBy-d.Clock.Now()-firstEvent, j.selection())
		if err != nil {
			return prefillPlan{}, d.noTarget(j, "", "engine", err.Error())
		}
		t, need := p.Engine, p.Prefill+transfer
		sel := j.selection()
		sel.Best = best
		if t.Role == radishspoke.PrefillRole && !j.noRelay && d.RelayClient.Worthwhile(t.ID, len(j.body)) && !d.outlastsHold(j, p.Wait+need) {
			h, result := d.takeHold(ctx, j, sel, t.Zone, p.Wait+need)
			if result == holdRefused {
				d.Router.Unpick(t.ID)
				if fail := d.awaitRoom(ctx, j, p.Wait+need+firstEvent); fail != nil {
					return prefillPlan{}, fail
				}
				best = true
				continue
			}
			j.noHold = j.noHold || result == holdFailed
			out := prefillPlan{relay: &t, placement: p, prefillID: t.ID, zone: t.Zone}
			out.useHold(h)
			return out, nil
		}
		var task *holdTask
		if t.Role == radishspoke.PrefillRole {
			task = d.startHold(ctx, j, sel, t.Zone, p.Wait, need)
		}
		asked := d.Clock.Now()
		endTurn, err := d.PromptQueue.Wait(ctx, t.ID, sequencer.Ticket{
			Rank: j.rank, Work: j.work, OnTime: j.onTime, Deadline: j.startBy, AfterTurn: firstEvent, Turn: p.Prefill,
		})
		j.queueTime += d.Clock.Now() - asked
		if err != nil {
			d.Router.Unpick(t.ID)
			d.abandon(task)
			return prefillPlan{}, d.failure(j, "queue", "the prompt can't be read before the deadline")
		}
		if fail := d.checkQuarantine(j); fail != nil {
			d.Router.Unpick(t.ID)
			endTurn(0)
			d.abandon(task)
			return prefillPlan{}, fail
		}
		if d.Router.Leaving(t.ID) { // since the request began to wait
			d.Router.Unpick(t.ID)
			endTurn(0)
			d.abandon(task)
			j.excluded[t.ID] = true
			continue
		}
		if t.Role != radishspoke.PrefillRole {
			return prefillPlan{decoder: &t, placement: p, endTurn: endTurn}, nil
		}
		h, result := task.finish()
		if h != nil && !h.covers(d.Clock.Now(), need) {
			d.release(h)
			h, result = d.takeHold(ctx, j, sel, t.Zone, need)
		}
		if result == holdRefused {
			d.Router.Unpick(t.ID)
			endTurn(0)
			if fail := d.awaitRoom(ctx, j, p.Wait+need+firstEvent); fail != nil {
				return prefillPlan{}, fail
			}
			best = true
			continue
		}
		j.noHold = j.noHold || result == holdFailed
		if !d.Router.Claim(t.ID) { // it has become cold, or the turn came late
			d.Router.Unpick(t.ID)
			endTurn(0)
			d.release(h)
			if d.placeAgain(ctx, j) == finished {
				return prefillPlan{}, d.failure(j, "queue", errCold.Error())
			}
			continue
		}
		start := d.Clock.Now()
		handle, a, err := d.prefill(ctx, j, p)
		took := d.Clock.Now() - start
		j.prefill += took
		if err == nil {
			endTurn(took)
			d.recordPrefill(j, p, took, a)
			out := prefillPlan{handle: handle, prefillID: t.ID, zone: t.Zone}
			out.useHold(h)
			return out, nil
		}
		endTurn(0)
		d.release(h)
		if j.breaks >= maxBreaks || d.decide(ctx, j, false, nil) == finished {
			return prefillPlan{}, d.failure(j, "engine", err.Error())
		}
	}
}

// recordPrefill records the duration of a prefill. Whether an engine has fetched or
// read shared parts is not certain, so that only prompts whose shared parts it held
// tell how long it takes to read. What a stated slowness explains is left out.
func (d *Dispatcher) recordPrefill(j *job, p fleetrouter.Placement, took time.Duration, a platform.AnswerHeader) {
	g := j.incoming.Generation
	d.Router.RecordPrefill(p.Engine.ID, g)
	d.Forecaster.ObservePrompt(j.group.Name, p.Tokens, d.Estimator.Timing(j.group.Name).Prefill(p.Tokens))
	if n := len(g.Parts); p.FetchFrom == "" && (n < 2 || p.Tokens == g.Parts[n-1].Tokens) {
		d.Estimator.ObservePrefill(j.group.Name, p.Engine.ID, p.Tokens, usualTime(took, a))
	}
}

// prefillTimeout returns the time limit of a prefill that starts now. As long as the
// times of engines are guesses, a prefill may take the time that is left.
func prefillTimeout(j *job, p fleetrouter.Placement, now time.Duration) time.Duration {
	if p.Guessed {
		return j.deadline - now
	}
	return relayer.PrefillTimeout(p.Prefill)
}

// prefill has an engine prefill the prompt. It also returns the headers of its answer. On failure
// the engine is excluded from further attempts.
func (d *Dispatcher) prefill(ctx context.Context, j *job, p fleetrouter.Placement) (*radishspoke.Handle, platform.AnswerHeader, error) {
	t := p.Engine
	j.visit(t)
	delete(j.excluded, t.ID) // a prefill does not run the request
	d.Router.Begin(t.ID)
	r := j.request()
	c := r.Call(platform.TargetHeader{Instance: t.ID, Remaining: j.deadline - d.Clock.Now(), PrefillOnly: true, FetchFrom: p.FetchFrom})
	began := d.Clock.Now()
	prefillCtx, timer := d.startPrefill(ctx, j, p)
	h, a, err := relayer.Prefill(prefillCtx, d.Targets, t.Address, c, j.deadline-began)
	timer.end(j)
	d.checkLoad(t, a)
	switch {
	case err == nil:
		d.Router.End(t.ID, d.loadReport(a, false))
		return h, a, nil
	case errors.Is(err, relayer.ErrNotPrefilled):
		report := d.loadReport(a, false)
		report.Failed, report.NotReady = !a.NotRun, a.NotRun
		d.Router.End(t.ID, report)
	case errors.Is(err, callerwatcher.ErrLeft):
		d.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
	default:
		d.Router.End(t.ID, newReport(ctx, nil, err))
		d.Targets.CloseIdle(t.Address)
		if ctx.Err() == nil {
			d.handleBreak(j, t, began, err)
		}
		if took := d.Clock.Now() - began; took > p.Prefill {
			// The prefill would have taken longer still.
			d.Estimator.ObservePrefill(j.group.Name, t.ID, p.Tokens, took)
		}
	}
	j.excluded[t.ID] = true
	return nil, a, err
}
