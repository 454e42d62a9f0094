package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/executor"
	"radishspoke/coordination/router"
	"radishspoke/internal/disabler"
	"radishspoke/protocol/wire"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/connector"
)

// errTryAnother means that the request may be sent to another target, if it can
// be sent again.
var errTryAnother = errors.New("another target is to be tried")

// errDraining wraps errTryAnother: the target takes no new requests.
var errDraining = fmt.Errorf("target drains: %w", errTryAnother)

// errRunFailed wraps errTryAnother: the target failed after it had begun to run the
// request.
var errRunFailed = fmt.Errorf("target failed while it ran the request: %w", errTryAnother)

// maxFailedRuns is the number of targets that may fail while they run one request. The
// request itself may be the cause.
const maxFailedRuns = 3

// errStreamLost means that the answer's stream broke or was inconsistent before
// the end of the answer.
var errStreamLost = errors.New("answer's stream was lost")

// errCallerGone wraps an error of the sink: the caller no longer waits for the
// answer.
var errCallerGone = errors.New("caller has gone")

// run tries targets until the answer is complete or an error is final.
func (d *Dispatcher) run(ctx context.Context, j *job) error {
	for try := 1; ; try++ {
		c, err := d.place(ctx, j)
		if err != nil {
			return err
		}
		j.target, j.began, j.placedAfter = c.Target.Name, false, time.Since(j.start)
		err = d.checkKey(j)
		if err == nil {
			err = d.runAt(ctx, j, c)
		}
		d.began(j)
		d.ended(c.Target.Name, errors.Is(err, errTryAnother) && !errors.Is(err, errDraining))
		if errors.Is(err, errClaimed) {
			err = d.attachToClaimed(ctx, j)
		}
		if !errors.Is(err, errTryAnother) {
			return err
		}
		d.log.Warn("target did not complete the request", "request", j.request.ID, "target", c.Target.Name, "offset", j.position, "error", err)
		if !j.canSwitchTarget() {
			return err
		}
		if errors.Is(err, errDraining) {
			d.markDraining(c.Target.Name)
			continue
		}
		if errors.Is(err, errRunFailed) {
			j.failedRuns++
		}
		if j.failedRuns >= maxFailedRuns {
			return &radishspoke.Failure{
				Outcome: j.outcome(), Status: http.StatusBadGateway, Code: "target_failed",
				Message: fmt.Sprintf("%d targets have failed while they ran the request", j.failedRuns),
			}
		}
		if !d.retries.Retry() {
			return &radishspoke.Failure{
				Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "retries_used_up",
				Message: fmt.Sprintf("target %s failed and too many requests are retried", c.Target.Name), RetryAfter: time.Second,
			}
		}
		j.work.Exclude = append(j.work.Exclude, c.Target.Name)
		if err := d.pause(ctx, try); err != nil {
			return err
		}
	}
}

// checkKey checks the API key again before the request is first sent: the key
// may have been withdrawn while the request waited. Open routes need no key.
func (d *Dispatcher) checkKey(j *job) error {
	if j.request.Route.Open || j.started {
		return nil
	}
	if err := d.check(j.request.Key); err != nil {
		return &radishspoke.Failure{Outcome: radishspoke.OutcomeNotRun, Status: http.StatusUnauthorized, Code: "invalid_api_key", Message: err.Error()}
	}
	return nil
}

// canSwitchTarget reports whether the request can be sent to another target. A
// service call cannot if the head of its answer has reached the sink, or if its
// body is streamed and so cannot be sent twice.
func (j *job) canSwitchTarget() bool {
	c := j.request.Call
	return c == nil || !j.headSent && c.Body == nil
}

// runAt executes the request at the chosen target, over as many connections as
// needed.
func (d *Dispatcher) runAt(ctx context.Context, j *job, c router.Choice) error {
	return d.executeAt(ctx, j, c.Target, 0, false)
}

// executeAt executes the request at a target. If sent is true, the request has
// been sent there before, to the given incarnation of the sidecar, and executeAt
// attaches to it. Otherwise incarnation is 0.
func (d *Dispatcher) executeAt(ctx context.Context, j *job, t radishspoke.Target, incarnation uint64, sent bool) error {
	j.startedBefore = j.started
	for try := 1; ; try++ {
		s, err := d.pool.Open(ctx, t.Sidecar, executor.ExecuteMethod)
		switch {
		case err != nil && !sent:
			return fmt.Errorf("%w: %s", errTryAnother, err.Error())
		case err == nil:
			if incarnation == 0 {
				incarnation = s.Incarnation
			}
			if !sent {
				if err = callerwatcher.Check(ctx); err == nil {
					err = d.claim(ctx, j, t, incarnation)
				}
			}
			if err != nil {
				_ = s.Close()
				return err
			}
			err = d.exchange(ctx, j, s, incarnation, sent)
			sent = true
		}
		if err == nil || errors.Is(err, errCallerGone) || errors.Is(err, errTryAnother) {
			return err
		}
		var f *radishspoke.Failure
		if errors.As(err, &f) {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("execute at %s: %w", t.Name, ctx.Err())
		}
		d.log.Warn("answer stream lost", "request", j.request.ID, "target", t.Name, "offset", j.position, "try", try, "error", err)
		if j.request.Route.Idempotent && try >= maxAttachTries {
			return fmt.Errorf("%w: %s", errTryAnother, err.Error())
		}
		if err := d.pause(ctx, try); err != nil {
			return err
		}
	}
}

const maxAttachTries = 3 // at one target, before an idempotent request goes to another

// exchange sends one Execute message and receives frames until the answer ends.
// It then sends the recorded usage to the sidecar, or aborts the request if the
// caller has disconnected.
func (d *Dispatcher) exchange(ctx context.Context, j *job, s connector.Stream, incarnation uint64, attach bool) error {
	defer func() { _ = s.Close() }()
	if !attach { // otherwise the sidecar has the request, and must learn that the caller has left
		if err := callerwatcher.Check(ctx); err != nil { // the claim took time
			return fmt.Errorf("send request: %w", err)
		}
	}
	stop := context.AfterFunc(ctx, func() {
		_ = s.Write(&wire.Upload{Aborted: true})
		_ = s.Close()
	})
	defer stop()
	j.attempt++
	q := j.executeMessage(d.settings.Name, incarnation, attach)
	j.started = true
	if err := s.Write(q); err != nil {
		return fmt.Errorf("%w: %s", errStreamLost, err.Error())
	}
	if j.request.Call != nil && !attach {
		go upload(s, j.request.Call)
	}
	err := d.receive(j, s, q.Attempt)
	switch {
	case err == nil:
		d.recordLength(j)
		_ = s.Write(&wire.Upload{Metered: d.recordUsage(j)})
	case errors.Is(err, errCallerGone):
		_ = s.Write(&wire.Upload{Aborted: true})
	}
	return err
}

// recordUsage records the usage of a complete answer and returns the message for
// the sidecar, or nil if there is nothing to record. If the answer belongs to
// another request with the same idempotency key, that request records it.
func (d *Dispatcher) recordUsage(j *job) *wire.Metered {
	if d.settings.Meter == nil || j.request.Team == "" || j.duplicate {
		return nil
	}
	u := j.usage
	return &wire.Metered{
		Process: d.settings.Name, Incarnation: d.settings.Incarnation, Sequence: d.settings.Meter(j.request.Team, u),
		Team: j.request.Team, PromptTokens: uint32(u.Prompt), CachedTokens: uint32(u.Cached), Output: uint64(u.Output),
	}
}

// executeMessage returns the message that starts the request or attaches to it.
func (j *job) executeMessage(entry string, incarnation uint64, attach bool) *wire.Execute {
	r := j.request
	q := &wire.Execute{
		Entry: entry, RequestId: j.executeID, Attempt: j.attempt, Offset: j.offset(), Team: r.Team, Idempotent: r.Route.Idempotent,
		RemainingMs: time.Until(r.Deadline).Milliseconds(), Attach: attach, Incarnation: incarnation,
	}
	if g := r.Generation; g != nil {
		q.Generation = &wire.Generation{
			Model: g.Model, Adapter: g.Adapter, Prompt: g.Prompt,
			MaxTokens: uint32(g.MaxTokens), Priority: int32(g.Priority),
		}
	}
	if c := r.Call; c != nil {
		q.Call = &wire.Call{Method: c.Method, Path: c.Path, Headers: executor.HeaderList(c.Header)}
	}
	return q
}

// offset returns the position from which the sidecar is to send the answer.
func (j *job) offset() uint64 {
	if disabler.Disabled(disabler.Resumption) {
		return 0
	}
	return j.position
}

const uploadBufferSize = 32 << 10 // bytes

// upload sends the body of a service call to the sidecar, up to its end or the
// first error.
func upload(s connector.Stream, c *radishspoke.Call) {
	body := c.Body
	if body == nil {
		body = bytes.NewReader(c.Replay)
	}
	buf := make([]byte, uploadBufferSize)
	for {
		n, err := body.Read(buf)
		u := &wire.Upload{Data: buf[:n], Last: err == io.EOF, Aborted: err != nil && err != io.EOF}
		if s.Write(u) != nil || err != nil {
			return
		}
	}
}

// receive reads frames and passes them to the sink until the answer ends. It
// drops frames of other attempts and the parts that the sink already has.
func (d *Dispatcher) receive(j *job, s connector.Stream, attempt uint32) error {
	f := &wire.Frame{}
	for {
		f.Reset()
		if err := s.Read(f); err != nil {
			if disabler.Disabled(disabler.EndCheck) {
				return j.sendEnd(&wire.End{})
			}
			return fmt.Errorf("%w: %s", errStreamLost, err.Error())
		}
		if f.RequestId != j.executeID || f.Attempt != attempt {
			continue
		}
		if f.Failure != nil {
			return j.handleFailure(f.Failure)
		}
		if err := d.deliver(j, f); err != nil {
			return err
		}
		if f.End == nil {
			continue
		}
		if f.End.Length != j.position {
			return fmt.Errorf("%w: answer of %d ended at %d", errStreamLost, f.End.Length, j.position)
		}
		return j.sendEnd(f.End)
	}
}

// deliver passes the part of a frame after j.position to the sink.
func (d *Dispatcher) deliver(j *job, f *wire.Frame) error {
	if f.Head != nil {
		if f.Head.Load != nil {
			d.mu.Lock()
			d.observeLoad(0, f.Head.Load)
			d.mu.Unlock()
		}
		if err := j.sendHead(f.Head); err != nil {
			return err
		}
	}
	if j.firstAfter == 0 {
		j.firstAfter = time.Since(j.start)
	}
	if f.Offset > j.position {
		return fmt.Errorf("%w: frame at %d, answer at %d", errStreamLost, f.Offset, j.position)
	}
	if len(f.Tokens) > 0 {
		d.began(j)
	}
	skip := j.position - f.Offset
	if disabler.Disabled(disabler.Resumption) {
		skip = 0
	}
	if n := uint64(len(f.Tokens)); n > skip {
		if err := j.sink.Tokens(f.Tokens[skip:]); err != nil {
			return fmt.Errorf("%w: %s", errCallerGone, err.Error())
		}
		j.position += n - skip
	}
	if n := uint64(len(f.Data)); n > skip {
		if err := j.sink.Data(f.Data[skip:]); err != nil {
			return fmt.Errorf("%w: %s", errCallerGone, err.Error())
		}
		j.position += n - skip
	}
	return nil
}

// sendHead passes the status and header of a service's answer to the sink. Only
// the first call has an effect.
func (j *job) sendHead(h *wire.Head) error {
	if j.request.Call == nil || j.headSent {
		return nil
	}
	j.headSent = true
	header := make(map[string][]string, len(h.Headers))
	for _, hd := range h.Headers {
		header[hd.Name] = hd.Values
	}
	if err := j.sink.Head(int(h.Status), header); err != nil {
		return fmt.Errorf("%w: %s", errCallerGone, err.Error())
	}
	return nil
}

// sendEnd passes the end and the usage of the answer to the sink.
func (j *job) sendEnd(e *wire.End) error {
	j.usage = radishspoke.Usage{Prompt: int(e.PromptTokens), Cached: int(e.CachedTokens), Output: int(j.position)}
	if err := j.sink.End(radishspoke.End{Reason: e.Reason, Usage: j.usage}); err != nil {
		return fmt.Errorf("%w: %s", errCallerGone, err.Error())
	}
	return nil
}

// handleFailure converts a failure that the sidecar reported to an error: one
// that lets the request go to another target, or a final one.
func (j *job) handleFailure(f *wire.Failure) error {
	notRun := f.Outcome == wire.Outcome_OUTCOME_NOT_RUN
	if f.Outcome == wire.Outcome_OUTCOME_RUN {
		return &radishspoke.Failure{Outcome: radishspoke.OutcomeRun, Status: http.StatusConflict, Code: "answer_gone", Message: f.Reason}
	}
	if notRun {
		// The target refuses this ID from now on. With a new ID, the
		// request can be sent to it again.
		j.started, j.executeID = j.startedBefore, uuid.NewString()
	}
	if notRun && f.Draining {
		return fmt.Errorf("%w: %s", errDraining, f.Reason)
	}
	if f.Elsewhere && notRun {
		return fmt.Errorf("%w: %s", errTryAnother, f.Reason)
	}
	if f.Elsewhere && j.request.Route.Idempotent {
		return fmt.Errorf("%w: %s", errRunFailed, f.Reason)
	}
	return &radishspoke.Failure{Outcome: j.outcome(), Status: http.StatusBadGateway, Code: "target_failed", Message: f.Reason}
}
