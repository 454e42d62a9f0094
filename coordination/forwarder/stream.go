package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke/coordination/placer"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/transport/caller"
)

// stream has an engine generate and passes the events on. When it ends with
// again, the request goes on at another engine, after the last event.
func (f *Forwarder) stream(ctx context.Context, j *job, s *sink, from prompt) (verdict, string) {
	t := *from.engine
	defer from.end(0)
	j.visit(t)
	f.Placer.Begin(t.ID)
	each, p := f.patience(ctx, j)
	defer p.end()
	r, took, err := f.open(each, j, from, p)
	if err != nil {
		return f.unopened(ctx, j, from, p, err)
	}
	j.sendoff = took
	from.end(took)
	defer r.Close()
	if r.NotRun {
		f.Placer.End(t.ID, from.report(ctx, r, nil, took))
		if from.reader != "" {
			j.tried[from.reader] = true // its KV cache may be what failed
		}
		relayer.ReleaseHandle(f.Targets, from.handle, f.Log)
		return f.judge(ctx, j, false, p.paid.Load()), "engine does not take the request now"
	}
	news := from.report(ctx, r, nil, took)
	defer func() { f.Placer.End(t.ID, news) }()
	j.ran()
	if !r.Stamped {
		return f.judge(ctx, j, true, p.paid.Load()), "answer does not come from a target"
	}
	if r.Status != http.StatusOK {
		if j.idempotent() && f.judge(ctx, j, true, p.paid.Load()) == again {
			return again, "engine failed"
		}
		if s.started {
			return final, "engine failed"
		}
		if err := s.whole(r.Status, r.Header, r); err != nil {
			return final, err.Error()
		}
		return final, ""
	}
	err = f.events(j, s, r, p)
	if err == nil {
		return final, ""
	}
	news.Failed, news.Inconclusive = true, ctx.Err() != nil
	return f.judge(ctx, j, true, p.paid.Load()), err.Error()
}

// open sends a request to the engine that generates, or takes it through both
// engines, and returns what the former took to answer.
func (f *Forwarder) open(ctx context.Context, j *job, from prompt, p *patience) (*reply, time.Duration, error) {
	if from.relay != nil {
		return f.relay(ctx, j, from, p)
	}
	began := f.Clock.Now()
	r, err := f.send(ctx, j, *from.engine, platform.Outgoing{Source: from.handle, Urgent: from.done == nil && from.handle == nil})
	return r, f.Clock.Now() - began, err
}

// unopened settles a send without an answer.
func (f *Forwarder) unopened(ctx context.Context, j *job, from prompt, p *patience, err error) (verdict, string) {
	t := *from.engine
	switch {
	case errors.Is(err, relayer.ErrNotAccepted):
		f.Placer.End(t.ID, placer.Report{Inconclusive: true})
		delete(j.tried, t.ID)
		if ctx.Err() != nil {
			return final, err.Error()
		}
		j.direct = true
		return again, err.Error()
	case errors.Is(err, sequencer.ErrDeadlineUnreachable):
		f.Placer.End(t.ID, placer.Report{Inconclusive: true})
		j.hopeless = true
		return final, err.Error()
	case errors.Is(err, relayer.ErrNotRead):
		f.Placer.End(t.ID, placer.Report{Inconclusive: true})
		delete(j.tried, t.ID)
		return f.judge(ctx, j, false, p.paid.Load()), err.Error()
	case errors.Is(err, caller.ErrNotSent):
		f.Placer.End(t.ID, from.report(ctx, nil, err, 0))
		relayer.ReleaseHandle(f.Targets, from.handle, f.Log)
		return f.judge(ctx, j, false, p.paid.Load()), err.Error()
	}
	f.Placer.End(t.ID, from.report(ctx, nil, err, 0))
	j.ran()
	f.Targets.Forget(t.Address)
	return f.judge(ctx, j, true, p.paid.Load()), err.Error()
}

// report turns the outcome of a send into news of the engines.
func (p prompt) report(ctx context.Context, r *reply, err error, took time.Duration) placer.Report {
	out := report(ctx, r, err)
	out.Source, out.ResponseTime = p.reader, took
	return out
}

// stall is the longest pause in a stream before it goes on at another engine.
// Callers leave after two seconds.
const stall = 800 * time.Millisecond

// events passes the events of a stream on. The error is of the engine's side,
// or says that the caller has left.
func (f *Forwarder) events(j *job, s *sink, r *reply, p *patience) error {
	var held []byte
	buffer := make([]byte, copyBuffer)
	for {
		p.extend(stall)
		n, err := r.Read(buffer)
		held = append(held, buffer[:n]...)
		if end := bytes.LastIndex(held, eventEnd); end >= 0 {
			end += len(eventEnd)
			if err := f.pass(j, s, r, held[:end]); err != nil {
				return err
			}
			held = append(held[:0], held[end:]...)
		}
		if errors.Is(err, io.EOF) {
			return f.pass(j, s, r, held)
		}
		if err != nil {
			return err
		}
	}
}

// pass sends whole events to the caller.
func (f *Forwarder) pass(j *job, s *sink, r *reply, events []byte) error {
	if len(events) == 0 {
		if !s.started {
			s.head(r.Status, r.Header)
		}
		return nil
	}
	now := f.Clock.Now()
	if !s.started {
		f.begin(j)
		f.Recorder.FirstToken(j.team.Name, j.rule.Name, now-j.arrived)
		j.first = now
		s.head(r.Status, r.Header)
	} else {
		j.pause = max(j.pause, now-j.last)
	}
	j.last = now
	if err := s.write(events); err != nil {
		return err
	}
	if id := lastID(events); id != "" {
		j.in.LastEvent = id
	}
	return nil
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("\nid:")
)

// lastID returns the last id among events, or "".
func lastID(events []byte) string {
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

var _ Placer = (*placer.Placer)(nil)
