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
	"radishspoke/transport/httpclient"
)

// attemptStream has an engine generate and copies the events to the caller. If
// it returns retry, the stream may continue at another engine after the last
// event.
func (f *Dispatcher) attemptStream(ctx context.Context, j *job, s *answerWriter, plan prefillPlan) (decision, string) {
	t := *plan.decoder
	defer plan.end(0)
	j.visit(t)
	f.Router.Begin(t.ID)
	attemptCtx, p := f.attemptTimer(ctx, j)
	defer p.end()
	r, took, err := f.openStream(attemptCtx, j, plan, p)
	if err != nil {
		return f.streamNotOpened(ctx, j, plan, p, err)
	}
	j.responseTime = took
	plan.end(took)
	defer r.Close()
	if r.NotRun {
		f.Router.End(t.ID, plan.newReport(ctx, r, nil, took))
		if plan.prefillID != "" {
			j.excluded[plan.prefillID] = true // its KV cache may have caused the refusal
		}
		relayer.ReleaseHandle(f.Targets, plan.handle, f.Log)
		return f.decide(ctx, j, false, p.charged.Load()), "engine refused the request for now"
	}
	report := plan.newReport(ctx, r, nil, took)
	defer func() { f.Router.End(t.ID, report) }()
	j.markRun()
	if !r.Stamped {
		return f.decide(ctx, j, true, p.charged.Load()), "answer does not bear the stamp of a target"
	}
	if r.Status != http.StatusOK {
		if j.idempotent() && f.decide(ctx, j, true, p.charged.Load()) == retry {
			return retry, "engine answered with an error status"
		}
		if s.started {
			return settled, "engine answered with an error status"
		}
		if err := s.copyAnswer(r.Status, r.Header, r); err != nil {
			return settled, err.Error()
		}
		return settled, ""
	}
	err = f.copyEvents(j, s, r, p)
	if err == nil {
		return settled, ""
	}
	report.Failed, report.Inconclusive = true, ctx.Err() != nil
	return f.decide(ctx, j, true, p.charged.Load()), err.Error()
}

// openStream sends a request to the decode engine, directly or through the
// sidecar of the prefill engine. It also returns the time that the decode engine
// took to answer.
func (f *Dispatcher) openStream(ctx context.Context, j *job, plan prefillPlan, p *attemptTimer) (*reply, time.Duration, error) {
	if plan.relay != nil {
		return f.relay(ctx, j, plan, p)
	}
	start := f.Clock.Now()
	r, err := f.send(ctx, j, *plan.decoder, platform.TargetHeader{CacheSource: plan.handle, Urgent: plan.done == nil && plan.handle == nil})
	return r, f.Clock.Now() - start, err
}

// streamNotOpened handles a send without an answer.
func (f *Dispatcher) streamNotOpened(ctx context.Context, j *job, plan prefillPlan, p *attemptTimer, err error) (decision, string) {
	t := *plan.decoder
	switch {
	case errors.Is(err, relayer.ErrNotAccepted):
		f.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
		delete(j.excluded, t.ID)
		if ctx.Err() != nil {
			return settled, err.Error()
		}
		j.noRelay = true
		return retry, err.Error()
	case errors.Is(err, sequencer.ErrDeadlineUnreachable):
		f.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
		j.unreachable = true
		return settled, err.Error()
	case errors.Is(err, relayer.ErrNotRead):
		f.Router.End(t.ID, fleetrouter.Report{Inconclusive: true})
		delete(j.excluded, t.ID)
		return f.decide(ctx, j, false, p.charged.Load()), err.Error()
	case errors.Is(err, httpclient.ErrNotSent):
		f.Router.End(t.ID, plan.newReport(ctx, nil, err, 0))
		relayer.ReleaseHandle(f.Targets, plan.handle, f.Log)
		return f.decide(ctx, j, false, p.charged.Load()), err.Error()
	}
	f.Router.End(t.ID, plan.newReport(ctx, nil, err, 0))
	j.markRun()
	f.Targets.CloseIdle(t.Address)
	return f.decide(ctx, j, true, p.charged.Load()), err.Error()
}

// newReport returns the report of the outcome of a send to the placer, including
// the source of the KV cache.
func (p prefillPlan) newReport(ctx context.Context, r *reply, err error, took time.Duration) fleetrouter.Report {
	out := newReport(ctx, r, err)
	out.Source, out.ResponseTime = p.prefillID, took
	return out
}

// maxEventGap is the longest time between two events before the stream continues
// at another engine. Callers disconnect after two seconds.
const maxEventGap = 800 * time.Millisecond

// copyEvents copies the events of a stream to the caller. An error is either one of
// the engine or states that the caller has disconnected.
func (f *Dispatcher) copyEvents(j *job, s *answerWriter, r *reply, p *attemptTimer) error {
	var pending []byte
	buffer := make([]byte, copyBuffer)
	for {
		p.reset(maxEventGap)
		n, err := r.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			end += len(eventEnd)
			if err := f.forwardEvents(j, s, r, pending[:end]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if errors.Is(err, io.EOF) {
			return f.forwardEvents(j, s, r, pending)
		}
		if err != nil {
			return err
		}
	}
}

// forwardEvents sends complete events to the caller, and the header before the
// first one.
func (f *Dispatcher) forwardEvents(j *job, s *answerWriter, r *reply, events []byte) error {
	if len(events) == 0 {
		if !s.started {
			s.writeHead(r.Status, r.Header)
		}
		return nil
	}
	now := f.Clock.Now()
	if !s.started {
		f.countBegun(j)
		f.Recorder.ObserveFirstToken(j.team.Name, j.rule.Name, now-j.arrived)
		j.firstEvent = now
		s.writeHead(r.Status, r.Header)
	} else {
		j.longestGap = max(j.longestGap, now-j.lastEvent)
	}
	j.lastEvent = now
	if err := s.write(events); err != nil {
		return err
	}
	if id := lastEventID(events); id != "" {
		j.incoming.LastEvent = id
	}
	return nil
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("\nid:")
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
