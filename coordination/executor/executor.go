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

// The methods that an Executor serves.
const (
	ExecuteMethod = "execute"
	CancelMethod  = "cancel"
)

// Settings of an Executor.
type Settings struct {
	// Target is the name of the target.
	Target string

	// Incarnation tells this process from earlier ones at the same address.
	// It must not be zero.
	Incarnation uint64

	// AnswerKeep is how long a finished answer is held; 60 s if zero.
	AnswerKeep time.Duration

	// RequestKeep is how long an id is remembered; 15 min if zero.
	RequestKeep time.Duration

	// DetachGrace is how long an idempotent request runs on without a
	// reader; 10 s if zero.
	DetachGrace time.Duration

	// Pace is the time between two reads of an engine's stream after its
	// first token: tokens that come closer together are passed on in one
	// frame. 20 ms if zero, none if negative.
	Pace time.Duration

	// MaxRecords is the most ids remembered; new requests are refused when
	// there are more. 131,072 if zero.
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

func (s *Settings) fill() {
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

// Witness takes what an entry has counted of an answer.
type Witness func(process string, incarnation uint64, a radishspoke.MeteredAnswer)

// Report makes the target's load report, which goes out with every answer's
// head.
type Report func() *wire.Load

// Executor runs requests at one target. Make it with New.
type Executor struct {
	settings Settings
	engine   radishspoke.Engine
	service  radishspoke.Service
	witness  Witness
	report   Report
	log      *slog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	records map[string]*record
	reasons map[Reason]bool // why new requests are refused
	running int
	idle    chan struct{} // closed when draining and nothing runs
}

// New returns an Executor for an engine or a service; the other is nil. It
// panics if the incarnation is zero.
func New(s Settings, e radishspoke.Engine, v radishspoke.Service, w Witness, r Report, t radishspoke.Timers, log *slog.Logger) *Executor {
	if s.Incarnation == 0 {
		panic("executor: zero incarnation")
	}
	s.fill()
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		settings: s, engine: e, service: v, witness: w, report: r, log: log,
		ctx: ctx, cancel: cancel, records: map[string]*record{}, reasons: map[Reason]bool{}, idle: make(chan struct{}),
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

// Stop cancels every request.
func (x *Executor) Stop() { x.cancel() }

// Close cancels every request and waits for its goroutines. The sessions that
// serve the executor must have been closed.
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

// Running returns the number of requests at the target, and whether new ones
// are refused.
func (x *Executor) Running() (n int, draining bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.running, x.draining()
}

// Reason is why an executor refuses new requests.
type Reason string

// The reasons.
const (
	Leaving  Reason = "leaving"  // the sidecar stops
	Ordering Reason = "ordering" // the engine is to be ordered
	Changing Reason = "changing" // the engine carries out an order
)

// Drain refuses new requests for a reason, or lifts it.
func (x *Executor) Drain(why Reason, on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if on {
		x.reasons[why] = true
	} else {
		delete(x.reasons, why)
	}
	x.signalIdle()
}

func (x *Executor) draining() bool { return len(x.reasons) > 0 }

// Idle returns a channel that is closed once the executor drains and nothing
// runs any more.
func (x *Executor) Idle() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.idle
}

func (x *Executor) signalIdle() {
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

// execute serves one Execute: it finds or makes the record and sends its
// answer.
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
			upload.abort(errNoReader)
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
	// The entry says what it has counted, and closes the stream.
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-received:
	case <-t.C:
	}
	return nil
}

// closeTimeout bounds the wait for an entry to close a stream that has ended.
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

// receive reads what the entry sends after its Execute: the request's body,
// or word that nobody waits for the answer.
func (x *Executor) receive(s *encoder.Stream, r *record, c *cursor, upload *bodyPipe) {
	defer c.leave()
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
			x.witness(m.Process, m.Incarnation, radishspoke.MeteredAnswer{Sequence: m.Sequence, Team: m.Team, Usage: radishspoke.Usage{
				Prompt: int(m.PromptTokens), Cached: int(m.CachedTokens), Output: int(m.Output),
			}})
			return
		}
		if u.Aborted {
			x.stop(r, "cancelled by the caller")
			if upload != nil {
				upload.abort(errNoReader)
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
