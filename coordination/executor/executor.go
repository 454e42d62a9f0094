package executor

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
)

// Names of the methods that an Executor serves.
const (
	ExecuteMethod = "execute"
	CancelMethod  = "cancel"
)

// Settings holds the settings of an Executor.
type Settings struct {
	// Target is the name of the target.
	Target string

	// Incarnation distinguishes this process from earlier ones at the same
	// address. It must not be zero.
	Incarnation uint64

	// AnswerKeep is how long an answer is kept after its end; 60 s if zero.
	AnswerKeep time.Duration

	// RequestKeep is how long the record of a request is kept after its end;
	// 15 min if zero.
	RequestKeep time.Duration

	// DetachGrace is how long an idempotent request continues after its last
	// reader has left; 10 s if zero.
	DetachGrace time.Duration

	// Pace is the interval between two reads of an engine's stream; 20 ms if
	// zero. The first tokens are read without a delay. Later ones that
	// arrive within one interval are sent in one frame. If Pace is negative,
	// the stream is read without pauses.
	Pace time.Duration

	// MaxRecords is the largest number of records; 131,072 if zero. New
	// requests are refused while there are that many.
	MaxRecords int
}

const (
	defaultAnswerKeep  = time.Minute
	defaultRequestKeep = 15 * time.Minute
	defaultDetachGrace = 10 * time.Second
	defaultPace        = 20 * time.Millisecond
	defaultMaxRecords  = 1 << 17
	sweepInterval      = time.Second
)

func (s *Settings) setDefaults() {
	if s.AnswerKeep == 0 {
		s.AnswerKeep = defaultAnswerKeep
	}
	if s.RequestKeep == 0 {
		s.RequestKeep = defaultRequestKeep
	}
	if s.DetachGrace == 0 {
		s.DetachGrace = defaultDetachGrace
	}
	if s.Pace == 0 {
		s.Pace = defaultPace
	}
	if s.MaxRecords == 0 {
		s.MaxRecords = defaultMaxRecords
	}
}

// UsageRecorder records the usage that an entry has counted for an answer.
type UsageRecorder func(process string, incarnation uint64, a radishspoke.MeteredAnswer)

// LoadReporter returns the target's load report, which is sent with the head of
// every answer.
type LoadReporter func() *wire.Load

// Executor runs requests at one target. Create it with New. It is safe for
// concurrent use.
type Executor struct {
	settings    Settings
	engine      radishspoke.Engine
	service     radishspoke.Service
	recordUsage UsageRecorder
	loadReport  LoadReporter
	log         *slog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	records map[string]*record   // by request ID
	reasons map[DrainReason]bool // why new requests are refused
	running int
	idle    chan struct{} // closed while the executor is draining and no request runs
}

// New returns an Executor for an engine or a service; the other of the two is
// nil. It panics if the incarnation in the settings is zero.
func New(s Settings, e radishspoke.Engine, v radishspoke.Service, u UsageRecorder, r LoadReporter, t radishspoke.Timers, log *slog.Logger) *Executor {
	if s.Incarnation == 0 {
		panic("executor: zero incarnation")
	}
	s.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		settings: s, engine: e, service: v, recordUsage: u, loadReport: r, log: log,
		ctx: ctx, cancel: cancel, records: map[string]*record{}, reasons: map[DrainReason]bool{}, idle: make(chan struct{}),
	}
	ticks, stop := t.Every(sweepInterval)
	x.group.Add(1)
	go func() {
		defer x.group.Done()
		defer stop()
		x.sweepLoop(ticks)
	}()
	return x
}

// Stop cancels every request and returns without waiting for them to end.
func (x *Executor) Stop() { x.cancel() }

// Close cancels every request and waits for the executor's goroutines. The
// sessions that serve the executor must be closed before.
func (x *Executor) Close() {
	x.cancel()
	x.group.Wait()
}

// Methods returns the handlers of the executor's methods.
func (x *Executor) Methods() encoder.Methods {
	return encoder.Methods{
		ExecuteMethod: x.execute,
		CancelMethod:  encoder.Unary(x.cancelRequest),
	}
}

// Running returns the number of requests that run at the target, and whether new
// ones are refused.
func (x *Executor) Running() (n int, draining bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.running, x.draining()
}

// DrainReason is why an executor refuses new requests.
type DrainReason string

// Reasons to refuse new requests.
const (
	Leaving  DrainReason = "leaving"  // the sidecar stops
	Ordering DrainReason = "ordering" // an order is about to be sent to the engine
	Changing DrainReason = "changing" // the engine carries out an order
)

// Drain sets or clears a reason to refuse new requests. They are refused while
// any reason is set.
func (x *Executor) Drain(reason DrainReason, on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if on {
		x.reasons[reason] = true
	} else {
		delete(x.reasons, reason)
	}
	x.updateIdle()
}

// draining reports whether new requests are refused. The caller must hold x.mu.
func (x *Executor) draining() bool { return len(x.reasons) > 0 }

// Idle returns a channel that is closed once the executor is draining and no
// request runs.
func (x *Executor) Idle() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.idle
}

// updateIdle closes the idle channel once the executor is draining and no request
// runs, and replaces a closed one when draining ends. The caller must hold x.mu.
func (x *Executor) updateIdle() {
	select {
	case <-x.idle:
		if !x.draining() {
			x.idle = make(chan struct{})
		}
	default:
		if x.draining() && x.running == 0 {
			close(x.idle)
		}
	}
}

// execute serves one Execute message: it finds or creates the record and sends the
// answer from the requested offset on.
func (x *Executor) execute(_ context.Context, s *encoder.Stream) error {
	q := &wire.Execute{}
	if err := s.Read(q); err != nil {
		return fmt.Errorf("read execute: %w", err)
	}
	r, upload, failure := x.admit(q)
	if failure == nil {
		failure = r.attach(q.Entry, q.Attempt, q.Offset)
	}
	if failure != nil {
		if upload != nil {
			upload.abort(errBodyIncomplete)
		}
		return s.Write(&wire.Frame{RequestId: q.RequestId, Attempt: q.Attempt, Offset: q.Offset, Failure: failure})
	}
	defer func() { r.detach(time.Now()) }()
	c := &cursor{record: r, entry: q.Entry, attempt: q.Attempt, position: q.Offset}
	received := make(chan struct{})
	x.group.Add(1)
	go func() {
		defer x.group.Done()
		defer close(received)
		x.receive(s, r, c, upload)
	}()
	if err := x.send(s, c); err != nil {
		return err
	}
	// The entry sends the usage it has counted and closes the stream.
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-received:
	case <-t.C:
	}
	return nil
}

// closeTimeout is the longest wait for an entry to close the stream of an answer
// that has ended.
const closeTimeout = 2 * time.Second

// send writes frames until the answer ends or the reader leaves.
func (x *Executor) send(s *encoder.Stream, c *cursor) error {
	for {
		f := c.next()
		if f == nil {
			return nil
		}
		if err := s.Write(f); err != nil {
			return fmt.Errorf("send answer of %s: %w", f.RequestId, err)
		}
		if f.End != nil || f.Failure != nil {
			return nil
		}
	}
}

// receive reads the messages that the entry sends after its Execute message. They
// hold the request's body, the usage that the entry has counted, or the notice
// that the caller has disconnected.
func (x *Executor) receive(s *encoder.Stream, r *record, c *cursor, upload *bodyPipe) {
	defer c.stop()
	u := &wire.Upload{}
	for {
		u.Reset()
		if err := s.Read(u); err != nil {
			if upload != nil {
				upload.abort(err)
			}
			return
		}
		if m := u.Metered; m != nil {
			x.recordUsage(m.Process, m.Incarnation, radishspoke.MeteredAnswer{Sequence: m.Sequence, Team: m.Team, Usage: radishspoke.Usage{
				Prompt: int(m.PromptTokens), Cached: int(m.CachedTokens), Output: int(m.Output),
			}})
			return
		}
		if u.Aborted {
			x.cancelIdempotent(r, "cancelled by the caller")
			if upload != nil {
				upload.abort(errBodyIncomplete)
			}
			return
		}
		if upload == nil {
			continue
		}
		if upload.write(u.Data) != nil {
			continue
		}
		if u.Last {
			upload.finish()
		}
	}
}
