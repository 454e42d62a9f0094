package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishspoke/coordination/placer"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
)

// latest returns until when a request may start to run.
func (f *Forwarder) latest(j *job) time.Duration {
	if j.key.Hash == "" {
		return j.deadline
	}
	return min(j.deadline, f.Proofs.Until())
}

// relay sends a request to the sidecar of the engine that reads, and returns
// what the engine that generates took to answer.
func (f *Forwarder) relay(ctx context.Context, j *job, from prompt, p *patience) (*reply, time.Duration, error) {
	reader, now := from.relay, f.Clock.Now()
	j.visit(*reader)
	delete(j.tried, reader.ID) // reading is not running
	f.Placer.Begin(reader.ID)
	a, out, err := f.Relays.Do(ctx, reader.ID, &relayer.Order{
		Request: j.request(), Reader: reader.ID, Generator: from.engine.ID, GeneratorAddress: from.engine.Address,
		Rank: j.team.Rank, OnTime: j.onTime - now, Deadline: j.deadline - now, LatestStart: f.latest(j) - now, ExpectedRead: from.expect,
	}, func(s relayer.Stage, expected time.Duration) {
		switch s {
		case relayer.Queued:
			p.extend(relayer.ReadTimeout(expected + from.expect))
		case relayer.Forwarded:
			p.extend(p.wait)
		}
	})
	j.turn, j.read = j.turn+out.QueueTime, j.read+out.ReadTime
	news := placer.Report{Waiting: out.Waiting, Slots: out.Slots}
	switch {
	case errors.Is(err, relayer.ErrNotRead):
		j.tried[reader.ID] = true
		news.NoResponse = errors.Is(err, relayer.ErrNoResponse)
		news.NotReady = !news.NoResponse
	case err != nil && out.ReadTime == 0:
		news.Inconclusive = true
	}
	f.Placer.End(reader.ID, news)
	if err != nil {
		return nil, 0, err
	}
	return &reply{Answer: a, Answering: platform.DecodeAnswer(a.Status, a.Header)}, out.ResponseTime, nil
}
