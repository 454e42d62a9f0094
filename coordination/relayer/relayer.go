package relayer

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/transport/caller"
)

// Path is where a Relayer takes orders.
const Path = "/relay"

// Settings of a Relayer.
type Settings struct {
	Engine string // address of the engine that reads

	// Window is the most prompts under way at the engine; 2 if zero: one is
	// read while the next one waits there.
	Window int
}

const (
	defaultWindow = 2

	// handOver is the time from the end of reading to the first event.
	handOver = 8 * time.Millisecond

	// mostOrder is the longest order, in bytes: the longest body of a
	// caller, and its headers.
	mostOrder = 4<<20 + 128<<10

	copyBuffer = 8 << 10 // bytes; events are short
)

// Headers of a Relayer's answer. Times are in microseconds.
const (
	headerOutcome = "Relay-Outcome"
	headerReason  = "Relay-Reason"
	headerExpect  = "Relay-Expect" // how long one more prompt would wait and be read
	headerTurn    = "Relay-Turn"   // how long this one waited
	headerRead    = "Relay-Read"   // how long it was read
	headerTook    = "Relay-Took"   // how long the second engine took to answer
	headerLoad    = "Relay-Load"   // waiting,slots of the first engine
)

// Outcomes of orders.
const (
	outcomeAnswer   = "answer"   // the second engine's answer follows
	outcomeStopping = "stopping" // this process takes no more orders
	outcomeHopeless = "hopeless" // the prompt can't be read in time
	outcomeUnread   = "unread"   // the first engine answered and did not read
	outcomeSilent   = "silent"   // the first engine did not answer
	outcomeUnsent   = "unsent"   // the second engine got nothing
	outcomeLost     = "lost"     // the second engine may have run the request
)

// The steps that a Relayer tells of with interim answers.
const (
	statusTaken = http.StatusProcessing // the order is queued
	statusRead  = http.StatusEarlyHints // the request goes to the second engine
)

// Relayer takes requests through the engine on its host and a second one. It is
// an http.Handler for Path. Make it with New.
type Relayer struct {
	settings  Settings
	targets   Targets
	sequencer *sequencer.Sequencer
	clock     radishspoke.Clock
	log       *slog.Logger
	stopping  atomic.Bool
	running   atomic.Int64
}

// New returns a Relayer beside an engine.
func New(s Settings, t Targets, c radishspoke.Clock, log *slog.Logger) *Relayer {
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	return &Relayer{
		settings: s, targets: t, clock: c, log: log,
		sequencer: sequencer.New(sequencer.Settings{Window: s.Window}, c),
	}
}

// Running returns how many orders are under way.
func (r *Relayer) Running() int64 { return r.running.Load() }

// Stop makes the Relayer refuse orders.
func (r *Relayer) Stop() { r.stopping.Store(true) }

// ServeHTTP takes one order. A GET only tells that the process lives.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.running.Add(1)
	defer r.running.Add(-1)
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
		r.fail(w, "", outcomeStopping, "sidecar stops")
		return
	}
	if q.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, q.Body, mostOrder))
	if err != nil {
		r.log.Debug("order not received", "from", q.RemoteAddr, "error", err)
		panic(http.ErrAbortHandler)
	}
	o, err := decodeOrder(data)
	if err != nil {
		r.log.Warn("order unreadable", "from", q.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := r.clock.Now()
	ctx, cancel := context.WithTimeout(q.Context(), o.Deadline)
	defer cancel()
	r.expect(w)
	w.WriteHeader(statusTaken)
	h, ok := r.read(ctx, w, o, arrived)
	if !ok {
		return
	}
	if r.clock.Now()-arrived >= o.Latest {
		Free(r.targets, h, r.log)
		r.fail(w, o.ID, outcomeHopeless, "too late to start")
		return
	}
	w.WriteHeader(statusRead)
	r.generate(ctx, w, o, h, arrived)
}

// read has the prompt of an order read when its turn has come, or answers the
// order.
func (r *Relayer) read(ctx context.Context, w http.ResponseWriter, o *Order, arrived time.Duration) (*radishspoke.Handle, bool) {
	done, err := r.sequencer.Wait(ctx, queue, sequencer.Ticket{
		Rank: o.Rank, OnTime: arrived + o.OnTime, Deadline: arrived + o.Deadline, AfterTurn: handOver,
	})
	if err != nil {
		r.fail(w, o.ID, outcomeHopeless, err.Error())
		return nil, false
	}
	began := r.clock.Now()
	c := o.Call(platform.Outgoing{Instance: o.Reader, Left: arrived + o.Deadline - began, Read: true})
	h, a, err := Read(ctx, r.targets, r.settings.Engine, c, o.Reading)
	took := r.clock.Now() - began
	setTime(w, headerTurn, began-arrived)
	setTime(w, headerRead, took)
	if a.Slots > 0 {
		w.Header().Set(headerLoad, strconv.Itoa(a.Waiting)+","+strconv.Itoa(a.Slots))
	}
	if err == nil {
		done(took)
		return h, true
	}
	done(0)
	outcome := outcomeSilent
	if errors.Is(err, ErrNotRead) {
		outcome = outcomeUnread
	}
	r.fail(w, o.ID, outcome, err.Error())
	return nil, false
}

// queue is the only one of a Relayer's sequencer.
const queue = "engine"

// generate sends an order's request to the second engine and passes its answer
// back.
func (r *Relayer) generate(ctx context.Context, w http.ResponseWriter, o *Order, h *radishspoke.Handle, arrived time.Duration) {
	began := r.clock.Now()
	c := o.Call(platform.Outgoing{Instance: o.Generator, Left: arrived + o.Deadline - began, Source: h})
	a, err := r.targets.Do(ctx, o.GeneratorAddress, c)
	setTime(w, headerTook, r.clock.Now()-began)
	if err != nil {
		outcome := outcomeLost
		if errors.Is(err, caller.ErrNotSent) {
			Free(r.targets, h, r.log)
			outcome = outcomeUnsent
		}
		r.fail(w, o.ID, outcome, err.Error())
		return
	}
	defer a.Close()
	if platform.DecodeAnswer(a.Status, a.Header).NotRun {
		Free(r.targets, h, r.log)
	}
	r.expect(w)
	out := w.Header()
	for k, v := range platform.Relayed(a.Header) {
		out[k] = v
	}
	out.Set(headerOutcome, outcomeAnswer)
	out["Date"] = a.Header["Date"]
	out["Content-Type"] = a.Header["Content-Type"] // nil keeps the server from guessing
	w.WriteHeader(a.Status)
	if err := pass(w, a); err != nil {
		r.log.Warn("answer broken off", "id", o.ID, "engine", o.GeneratorAddress, "error", err)
		panic(http.ErrAbortHandler) // a cut answer must not look whole
	}
}

// pass passes an answer on as it comes.
func pass(w http.ResponseWriter, a io.Reader) error {
	flush := http.NewResponseController(w).Flush
	buffer := make([]byte, copyBuffer)
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fail answers an order that came to nothing. The id of its request is empty if
// it was not read.
func (r *Relayer) fail(w http.ResponseWriter, id, outcome, reason string) {
	r.expect(w)
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set(headerReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
	r.log.Info("relayed request failed", "id", id, "outcome", outcome, "reason", reason)
}

// expect says how long one more prompt would wait and be read.
func (r *Relayer) expect(w http.ResponseWriter) { setTime(w, headerExpect, r.sequencer.Expect(queue)) }

func setTime(w http.ResponseWriter, name string, d time.Duration) {
	w.Header().Set(name, strconv.FormatInt(d.Microseconds(), 10))
}
