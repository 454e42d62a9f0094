package fleetdispatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
)

// latestStart returns the latest time at which a request may start to run.
func (f *Dispatcher) latestStart(j *job) time.Duration {
	if j.key.Hash == "" {
		return j.deadline
	}
	return min(j.deadline, f.KeyTrust.TrustedUntil())
}

// relay sends a request through the sidecar of the prefill engine and returns
// the answer of the decode engine, and the time that this engine took to answer.
func (f *Dispatcher) relay(ctx context.Context, j *job, plan prefillPlan, p *attemptTimer) (*reply, time.Duration, error) {
	reader, now := plan.relay, f.Clock.Now()
	j.visit(*reader)
	delete(j.excluded, reader.ID) // a prefill does not run the request
	f.Router.Begin(reader.ID)
	a, out, err := f.RelayClient.Do(ctx, reader.ID, &relayer.Order{
		Request: j.request(), Reader: reader.ID, Generator: plan.decoder.ID, GeneratorAddress: plan.decoder.Address,
		Rank: j.team.Rank, OnTime: j.onTime - now, Deadline: j.deadline - now, LatestStart: f.latestStart(j) - now, ExpectedRead: plan.expectedDelay,
	}, func(s relayer.Stage, expected time.Duration) {
		switch s {
		case relayer.Queued:
			p.reset(relayer.ReadTimeout(expected + plan.expectedDelay))
		case relayer.Forwarded:
			p.reset(p.timeout)
		}
	})
	j.queueTime, j.prefill = j.queueTime+out.QueueTime, j.prefill+out.ReadTime
	report := fleetrouter.Report{Waiting: out.Waiting, Slots: out.Slots}
	switch {
	case errors.Is(err, relayer.ErrNotRead):
		j.excluded[reader.ID] = true
		report.NoResponse = errors.Is(err, relayer.ErrNoResponse)
		report.NotReady = !report.NoResponse
	case err != nil && out.ReadTime == 0:
		report.Inconclusive = true
	}
	f.Router.End(reader.ID, report)
	if err != nil {
		return nil, 0, err
	}
	return &reply{Response: a, AnswerHeader: platform.DecodeAnswer(a.Status, a.Header)}, out.ResponseTime, nil
}
