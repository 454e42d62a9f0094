package executor

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

var errNoReader = errors.New("request's body was cut short")

const copyBuffer = 32 << 10 // bytes

// run has the target carry out a request, and closes its record.
func (x *Executor) run(ctx context.Context, r *record, q *wire.Execute, upload *bodyPipe) {
	start := time.Now()
	var end *wire.End
	var err error
	if q.Generation != nil {
		end, err = x.generate(ctx, r, q)
	} else {
		end, err = x.call(ctx, r, q, upload)
	}
	var failure *wire.Failure
	if err != nil {
		end, failure = nil, failureOf(err)
	}
	r.finish(end, failure, time.Now())
	x.mu.Lock()
	x.running--
	x.signalIdle()
	x.mu.Unlock()
	x.log.Info("request ended", "request", q.RequestId, "attempt", q.Attempt, "team", q.Team,
		"took", time.Since(start), "whole", end != nil, "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// failureOf tells what a target's error means for the request.
func failureOf(err error) *wire.Failure {
	f := &wire.Failure{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: err.Error(), Elsewhere: true}
	if errors.Is(err, radishspoke.ErrTargetRefused) {
		f.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return f
}

func (x *Executor) generate(ctx context.Context, r *record, q *wire.Execute) (*wire.End, error) {
	g := radishspoke.Generation{
		Model: q.Generation.Model, Adapter: q.Generation.Adapter, Prompt: q.Generation.Prompt,
		MaxTokens: int(q.Generation.MaxTokens), Priority: int(q.Generation.Priority),
	}
	s, err := x.engine.Generate(ctx, r.id, g, int(q.Offset))
	if err != nil {
		return nil, fmt.Errorf("start generation: %w", err)
	}
	defer func() { _ = s.Close() }()
	r.setHead(&wire.Head{Incarnation: x.settings.Incarnation, Load: x.report()})
	for {
		b, err := s.Next()
		if err != nil {
			return nil, fmt.Errorf("read generation: %w", err)
		}
		if len(b.Tokens) > 0 {
			r.addTokens(b.Tokens)
		}
		if b.End {
			return &wire.End{Reason: b.Reason, PromptTokens: uint32(b.Usage.Prompt), CachedTokens: uint32(b.Usage.Cached)}, nil
		}
		x.pace(ctx)
	}
}

// pace waits for the next moment at which streams are read. The moments are
// the same for all, so that their frames share system calls on the way.
func (x *Executor) pace(ctx context.Context) {
	if x.settings.Pace < 0 {
		return
	}
	now := time.Now()
	ticker.Sleep(ctx, now.Truncate(x.settings.Pace).Add(x.settings.Pace).Sub(now))
}

func (x *Executor) call(ctx context.Context, r *record, q *wire.Execute, upload *bodyPipe) (*wire.End, error) {
	defer upload.stop()
	defer context.AfterFunc(ctx, r.wake)()
	c := radishspoke.Call{Method: q.Call.Method, Path: q.Call.Path, Header: headerMap(q.Call.Headers), Body: upload}
	a, err := x.service.Call(ctx, r.id, c)
	if err != nil {
		return nil, fmt.Errorf("call service: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	r.setHead(&wire.Head{Status: uint32(a.Status), Headers: HeaderList(a.Header), Incarnation: x.settings.Incarnation, Load: x.report()})
	b := make([]byte, copyBuffer)
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			if err := r.addData(ctx, b[:n]); err != nil {
				return nil, fmt.Errorf("%w: hold answer: %s", radishspoke.ErrTargetFailed, err.Error())
			}
		}
		if err == io.EOF {
			return &wire.End{}, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%w: answer cut short: %s", radishspoke.ErrTargetFailed, err.Error())
		}
	}
}

// HeaderList converts HTTP headers to messages.
func HeaderList(h map[string][]string) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

func headerMap(list []*wire.Header) map[string][]string {
	out := make(map[string][]string, len(list))
	for _, h := range list {
		out[h.Name] = h.Values
	}
	return out
}

// bodyPipe passes a request's body from the session to the target, one piece
// at a time.
type bodyPipe struct {
	r *io.PipeReader
	w *io.PipeWriter

	once sync.Once
}

func newBodyPipe() *bodyPipe {
	r, w := io.Pipe()
	return &bodyPipe{r: r, w: w}
}

func (p *bodyPipe) Read(b []byte) (int, error) { return p.r.Read(b) }

func (p *bodyPipe) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	_, err := p.w.Write(b)
	return err
}

// stop makes further writes fail.
func (p *bodyPipe) stop() { _ = p.r.CloseWithError(errNoReader) }

// finish marks the end of a whole body.
func (p *bodyPipe) finish() { p.once.Do(func() { _ = p.w.Close() }) }

// abort makes the target's read of the body fail, unless it was whole.
func (p *bodyPipe) abort(err error) {
	p.once.Do(func() { _ = p.w.CloseWithError(fmt.Errorf("%w: %s", errNoReader, err.Error())) })
}
