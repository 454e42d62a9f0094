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

// errBodyIncomplete means that the body of a request ended early: the entry
// stopped sending it, or the target stopped reading it.
var errBodyIncomplete = errors.New("request's body was cut short")

const copyBufferSize = 32 << 10 // bytes

// run executes a request at the target and finishes its record.
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
		end, failure = nil, toFailure(err)
	}
	r.finish(end, failure, time.Now())
	x.mu.Lock()
	x.running--
	x.updateIdle()
	x.mu.Unlock()
	x.log.Info("request ended", "request", q.RequestId, "attempt", q.Attempt, "team", q.Team,
		"took", time.Since(start), "whole", end != nil, "error", errorText(err))
}

// errorText returns the text of err, or "" if it is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// toFailure converts an error of the target. The request counts as not run only
// if the target refused it.
func toFailure(err error) *wire.Failure {
	f := &wire.Failure{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: err.Error(), Elsewhere: true}
	if errors.Is(err, radishspoke.ErrTargetRefused) {
		f.Outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	return f
}

// generate runs a generation at the engine and adds its tokens to the record.
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
	r.setHead(&wire.Head{Incarnation: x.settings.Incarnation, Load: x.loadReport()})
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

// pace waits until the next multiple of the pace interval. All streams are thereby
// read at the same times, so that their frames share system calls.
func (x *Executor) pace(ctx context.Context) {
	if x.settings.Pace < 0 {
		return
	}
	now := time.Now()
	ticker.Sleep(ctx, now.Truncate(x.settings.Pace).Add(x.settings.Pace).Sub(now))
}

// call sends a call to the service and adds the answer's body to the record.
func (x *Executor) call(ctx context.Context, r *record, q *wire.Execute, upload *bodyPipe) (*wire.End, error) {
	defer upload.stop()
	defer context.AfterFunc(ctx, r.wake)()
	c := radishspoke.Call{Method: q.Call.Method, Path: q.Call.Path, Header: headerMap(q.Call.Headers), Body: upload}
	a, err := x.service.Call(ctx, r.id, c)
	if err != nil {
		return nil, fmt.Errorf("call service: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	r.setHead(&wire.Head{Status: uint32(a.Status), Headers: HeaderList(a.Header), Incarnation: x.settings.Incarnation, Load: x.loadReport()})
	b := make([]byte, copyBufferSize)
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

// HeaderList converts HTTP header fields to messages.
func HeaderList(h map[string][]string) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &wire.Header{Name: name, Values: values})
	}
	return out
}

// headerMap converts messages to HTTP header fields.
func headerMap(list []*wire.Header) map[string][]string {
	out := make(map[string][]string, len(list))
	for _, h := range list {
		out[h.Name] = h.Values
	}
	return out
}

// bodyPipe passes a request's body from the entry's stream to the target without
// buffering it.
type bodyPipe struct {
	r *io.PipeReader
	w *io.PipeWriter

	once sync.Once // closes w
}

func newBodyPipe() *bodyPipe {
	r, w := io.Pipe()
	return &bodyPipe{r: r, w: w}
}

// Read implements io.Reader for the target.
func (p *bodyPipe) Read(b []byte) (int, error) { return p.r.Read(b) }

// write blocks until the target has read b.
func (p *bodyPipe) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	_, err := p.w.Write(b)
	return err
}

// stop makes further writes fail.
func (p *bodyPipe) stop() { _ = p.r.CloseWithError(errBodyIncomplete) }

// finish marks the end of a complete body.
func (p *bodyPipe) finish() { p.once.Do(func() { _ = p.w.Close() }) }

// abort makes the target's read of the body fail, unless the body is complete.
func (p *bodyPipe) abort(err error) {
	p.once.Do(func() { _ = p.w.CloseWithError(fmt.Errorf("%w: %s", errBodyIncomplete, err.Error())) })
}
