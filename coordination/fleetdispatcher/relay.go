package fleetdispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke/coordination/relayer"
	"radishspoke/platform"
)

// latestStart returns the latest time at which a request may start to run.
func (d *Dispatcher) latestStart(j *job) time.Duration {
	if j.key.Hash == "" || j.firstEvent > 0 {
		return j.deadline
	}
	return min(j.deadline, d.KeyTrust.TrustedUntil())
}

// relay sends a request through the sidecar of the prefill engine and returns
// the answer of the decode engine and the time that this engine took to answer.
// The errors are those of relayer.Client.Do.
func (d *Dispatcher) relay(ctx context.Context, j *job, plan prefillPlan, timer *attemptTimer) (*reply, time.Duration, error) {
	engine, now := plan.relay, d.Clock.Now()
	timeout := prefillTimeout(j, plan.placement, now)
	limit := timeout
	if timer.supervises() {
		limit = j.deadline - now
	}
	j.visit(*engine)
	delete(j.excluded, engine.ID) // a prefill does not run the request
	timer.avoid(engine.ID)
	d.Router.Begin(engine.ID)
	a, out, err := d.RelayClient.Do(ctx, engine.ID, &relayer.Order{
		Request: j.request(), PrefillEngine: engine.ID, DecodeEngine: plan.decoder.ID, DecodeAddress: plan.decoder.Address,
		Rank: j.rank, Work: j.work, OnTime: j.onTime - now, Deadline: j.deadline - now, LatestStart: d.latestStart(j) - now,
		ExpectedPrefill: plan.placement.Prefill, PrefillTimeout: limit, FetchFrom: plan.placement.FetchFrom, FirstEvent: d.Estimator.Timing(j.group.Name).FirstEvent,
		Hold: plan.holdID(), HoldTime: plan.holdTime(now),
	}, func(s relayer.Stage, expected time.Duration) {
		switch s {
		case relayer.Queued:
			timer.reset(j, expected+timeout)
		case relayer.Forwarded:
			timer.ask()
			timer.reset(j, headTimeout(j.rule))
		}
	})
	j.queueTime, j.prefill = j.queueTime+out.QueueTime, j.prefill+out.PrefillTime
	report := d.loadReport(out.PrefillAnswer, false)
	switch {
	case errors.Is(err, relayer.ErrNotPrefilled):
		j.excluded[engine.ID] = true
		report.NoResponse, report.Inconclusive = errors.Is(err, relayer.ErrNoResponse), errors.Is(err, relayer.ErrDeclined)
		report.NotReady = !report.NoResponse
	case err != nil && out.PrefillTime == 0:
		report.Inconclusive = true
	}
	d.Router.End(engine.ID, report)
	if out.Prefilled {
		d.Answers.Observe(engine.ID, http.StatusOK, platform.EncodeAnswer(out.PrefillAnswer, ""))
	}
	if out.PrefillTime > 0 && !errors.Is(err, relayer.ErrNotPrefilled) {
		d.recordPrefill(j, plan.placement, out.PrefillTime, out.PrefillAnswer)
	}
	if err != nil {
		return nil, 0, err
	}
	d.Answers.Observe(plan.decoder.ID, a.Status, a.Header)
	r := &reply{Response: a, AnswerHeader: platform.DecodeAnswer(a.Status, a.Header), framing: out.Framing, at: d.Clock.Now()}
	d.checkLoad(*plan.decoder, r.AnswerHeader)
	return r, out.ResponseTime, nil
}
