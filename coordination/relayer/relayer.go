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
	"radishspoke/transport"
	"radishspoke/transport/budgeter"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/httpclient"
)

// Path is the URL path at which a Relayer accepts orders.
const Path = "/relay"

// Settings holds the parameters of a Relayer.
type Settings struct {
	Engine string // address of the prefill engine

	// Window is the maximum number of prompts in flight at the engine. The
	// default of 2 lets the next prompt wait at the engine while one is
	// prefilled.
	Window int

	// Evacuated tells which targets are in evacuated zones. Nil means that none ever is.
	Evacuated Evacuated
}

// Evacuated tells which targets are in evacuated availability zones. See evacuator.Evacuator.
type Evacuated interface {
	Covers(id string) bool
}

const (
	defaultWindow = 2

	// maxOrderBytes is the maximum size of an order: the longest body of a
	// caller and its headers.
	maxOrderBytes = 4<<20 + 128<<10

	copyBuffer = 8 << 10 // bytes; events are short
)

// headerHoldTime is the header of an order with the time for which its hold lasts, in
// microseconds.
const headerHoldTime = "Relay-Hold"

// Response headers of a Relayer. Times are in microseconds.
const (
	headerOutcome      = "Relay-Outcome"
	headerReason       = "Relay-Reason"
	headerExpectedWait = "Relay-Expect" // expected queue time of a further prompt
	headerQueueTime    = "Relay-Turn"   // queue time of this prompt
	headerPrefillTime  = "Relay-Read"   // prefill time of this prompt
	headerResponseTime = "Relay-Took"   // response time of the decode engine
	headerLoad         = "Relay-Load"   // waiting,slots,running,slowness of the prefill engine
	headerLimit        = "Relay-Limit"  // stated limit of the prefill engine, in requests a second; empty if there is none
	headerFraming      = "Relay-Frame"  // framing of the answer of the decode engine

	// headerDeclined is set if nothing was sent to an engine because its zone is evacuated.
	headerDeclined = "Relay-Declined"
)

// Values of headerOutcome.
const (
	outcomeAnswer       = "answer"   // the answer of the decode engine follows
	outcomeStopping     = "stopping" // the Relayer is shutting down and accepts no orders
	outcomeUnreachable  = "hopeless" // the request cannot be answered before its deadline or start in time
	outcomeNotPrefilled = "unread"   // the prefill engine answered but did not prefill the prompt
	outcomeNoResponse   = "silent"   // the prefill engine did not respond
	outcomeNotSent      = "unsent"   // nothing was sent to the decode engine
	outcomeHoldEnded    = "unheld"   // nothing was sent to any engine, as the hold ends too soon
	outcomeMayHaveRun   = "lost"     // the decode engine may have run the request
)

// Interim status codes by which a Relayer reports its progress.
const (
	statusQueued    = http.StatusProcessing // the order is queued
	statusForwarded = http.StatusEarlyHints // the prompt is prefilled and the request goes to the decode engine
)

// Relayer sends requests through the prefill engine on its host and a decode
// engine. It is an http.Handler for Path. Create it with New.
type Relayer struct {
	settings  Settings
	targets   Targets
	avoided   Avoided
	sequencer *sequencer.Sequencer
	clock     radishspoke.Clock
	log       *slog.Logger
	stopping  atomic.Bool
	running   atomic.Int64
}

// Avoided tells which targets must get no requests from this process. See
// avoider.Avoider.
type Avoided interface {
	Avoids(id string) bool
}

// New returns a Relayer for the prefill engine at s.Engine.
func New(s Settings, t Targets, a Avoided, c radishspoke.Clock, log *slog.Logger) *Relayer {
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	return &Relayer{
		settings: s, targets: t, avoided: a, clock: c, log: log,
		sequencer: sequencer.New(sequencer.Settings{Window: s.Window}, c),
	}
}

// Running returns the number of HTTP requests being served, probes included.
func (r *Relayer) Running() int64 { return r.running.Load() }

// Stop makes the Relayer reject further orders and probes.
func (r *Relayer) Stop() { r.stopping.Store(true) }

// Refusal returns headers that tell a Client that an order was not accepted, for a process that
// refuses it before it reaches the Relayer.
func Refusal() http.Header {
	return http.Header{headerOutcome: {outcomeStopping}, headerReason: {"sidecar is full"}}
}

// ServeHTTP serves one order. A GET request is a probe and only reports that the
// process is alive.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.running.Add(1)
	defer r.running.Add(-1)
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
		r.writeFailure(w, "", outcomeStopping, "sidecar stops")
		return
	}
	if q.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	data, err := budgeter.ReadBody(http.MaxBytesReader(w, q.Body, maxOrderBytes), budgeter.From(q.Context()),
		budgeter.BodyOptions{Size: q.ContentLength, Most: maxOrderBytes, Copies: 2}) // it is decoded to a copy
	if errors.Is(err, budgeter.ErrFull) {
		r.writeFailure(w, "", outcomeStopping, err.Error()) // the entry sends the request itself
		return
	}
	if err != nil {
		r.log.Debug("reading the relay order failed", "from", q.RemoteAddr, "error", err)
		panic(http.ErrAbortHandler)
	}
	o, err := decodeOrder(data)
	budgeter.From(q.Context()).Credit(int64(cap(data)))
	if err != nil {
		r.log.Warn("decoding the relay order failed", "from", q.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.HoldTime = headerTime(q.Header, headerHoldTime)
	arrived := r.clock.Now()
	defer func() {
		if notice, late := callerwatcher.Left(q.Context()); notice != "" {
			r.log.Info("entry left", "id", o.ID, "notice", notice, "late", late, "took", r.clock.Now()-arrived)
		}
	}()
	ctx, cancel := context.WithTimeout(q.Context(), o.Deadline)
	defer cancel()
	r.setExpectedWait(w)
	w.WriteHeader(statusQueued)
	h, ok := r.prefill(ctx, w, o, arrived)
	if !ok {
		return
	}
	if r.clock.Now()-arrived >= o.LatestStart {
		ReleaseHandle(r.targets, h, r.log)
		r.writeFailure(w, o.ID, outcomeUnreachable, "too late to start")
		return
	}
	if r.declines(w, o.DecodeEngine) {
		ReleaseHandle(r.targets, h, r.log)
		r.writeFailure(w, o.ID, outcomeNotSent, "the zone of the decode engine is evacuated")
		return
	}
	if r.avoided.Avoids(o.DecodeEngine) {
		ReleaseHandle(r.targets, h, r.log)
		r.writeFailure(w, o.ID, outcomeNotSent, "the decode engine takes no requests")
		return
	}
	w.WriteHeader(statusForwarded)
	r.generate(ctx, w, q, o, h, arrived)
}

// prefill waits for the turn of an order and has its prompt prefilled. On
// failure it answers the order and returns false.
func (r *Relayer) prefill(ctx context.Context, w http.ResponseWriter, o *Order, arrived time.Duration) (*radishspoke.Handle, bool) {
	done, err := r.sequencer.Wait(ctx, queueName, sequencer.Ticket{
		Rank: o.Rank, Work: o.Work, OnTime: arrived + o.OnTime, Deadline: arrived + o.Deadline, AfterTurn: o.FirstEvent, Turn: o.ExpectedPrefill,
	})
	if err != nil {
		r.writeFailure(w, o.ID, outcomeUnreachable, err.Error())
		return nil, false
	}
	if r.declines(w, o.PrefillEngine) {
		done(0)
		r.writeFailure(w, o.ID, outcomeNotPrefilled, "the zone of the prefill engine is evacuated")
		return nil, false
	}
	if r.avoided.Avoids(o.PrefillEngine) { // since the order was queued
		done(0)
		r.writeFailure(w, o.ID, outcomeNotPrefilled, "the prefill engine takes no requests")
		return nil, false
	}
	began := r.clock.Now()
	if o.Hold != "" && !o.holds(began-arrived+o.ExpectedPrefill) {
		done(0)
		setTime(w, headerQueueTime, began-arrived)
		r.writeFailure(w, o.ID, outcomeHoldEnded, "the hold ends before the prompt is read")
		return nil, false
	}
	c := o.Call(platform.TargetHeader{Instance: o.PrefillEngine, Remaining: arrived + o.Deadline - began, PrefillOnly: true, FetchFrom: o.FetchFrom})
	h, a, err := Prefill(ctx, r.targets, r.settings.Engine, c, o.PrefillTimeout)
	took := r.clock.Now() - began
	setTime(w, headerQueueTime, began-arrived)
	setTime(w, headerPrefillTime, took)
	if err == nil || errors.Is(err, ErrNotPrefilled) { // the engine has answered
		limit := ""
		if a.Limited {
			limit = strconv.FormatFloat(a.Limit, 'f', -1, 64)
		}
		w.Header().Set(headerLimit, limit)
	}
	if a.Slots > 0 {
		w.Header().Set(headerLoad, encodeLoad(a))
	}
	if err == nil {
		done(took)
		return h, true
	}
	done(0)
	outcome := outcomeNoResponse
	if errors.Is(err, ErrNotPrefilled) {
		outcome = outcomeNotPrefilled
	}
	r.writeFailure(w, o.ID, outcome, err.Error())
	return nil, false
}

// declines reports whether a target is in an evacuated zone, and if so sets the header that
// says that nothing was sent to it.
func (r *Relayer) declines(w http.ResponseWriter, target string) bool {
	if r.settings.Evacuated == nil || !r.settings.Evacuated.Covers(target) {
		return false
	}
	w.Header().Set(headerDeclined, "1")
	return true
}

// queueName is the key of the only queue of the sequencer: a Relayer serves a
// single engine.
const queueName = "engine"

// generate sends the request of an order to the decode engine and streams its
// answer back.
func (r *Relayer) generate(ctx context.Context, w http.ResponseWriter, q *http.Request, o *Order, h *radishspoke.Handle, arrived time.Duration) {
	began := r.clock.Now()
	t := platform.TargetHeader{Instance: o.DecodeEngine, Remaining: arrived + o.Deadline - began, CacheSource: h}
	if o.holds(began - arrived) {
		t.Hold = o.Hold
	}
	a, err := r.targets.Do(ctx, o.DecodeAddress, o.Call(t))
	setTime(w, headerResponseTime, r.clock.Now()-began)
	if err != nil {
		outcome := outcomeMayHaveRun
		if errors.Is(err, httpclient.ErrNotSent) {
			ReleaseHandle(r.targets, h, r.log)
			outcome = outcomeNotSent
		}
		r.writeFailure(w, o.ID, outcome, err.Error())
		return
	}
	defer a.Close()
	if platform.DecodeAnswer(a.Status, a.Header).NotRun {
		ReleaseHandle(r.targets, h, r.log)
	}
	r.setExpectedWait(w)
	out := w.Header()
	for k, v := range platform.RelayedHeaders(a.Header) {
		out[k] = v
	}
	out.Set(headerOutcome, outcomeAnswer)
	out.Set(headerFraming, string(a.Framing))
	out["Date"] = a.Header["Date"]
	out["Content-Type"] = a.Header["Content-Type"] // nil disables content sniffing by the server
	w.WriteHeader(a.Status)
	if err := copyStream(w, a); err != nil {
		r.log.Warn("answer broken off", "id", o.ID, "engine", o.DecodeAddress, "framing", a.Framing, "error", err)
		transport.Abort(w, q)
	}
}

// copyStream copies an answer to the entry and flushes after each read.
func copyStream(w http.ResponseWriter, a io.Reader) error {
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

// writeFailure answers an order that failed. The id is empty if the order was
// not decoded.
func (r *Relayer) writeFailure(w http.ResponseWriter, id, outcome, reason string) {
	r.setExpectedWait(w)
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set(headerReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
	r.log.Info("relayed request failed", "id", id, "outcome", outcome, "reason", reason)
}

// setExpectedWait sets the header with the expected queue time of a further prompt.
func (r *Relayer) setExpectedWait(w http.ResponseWriter) {
	setTime(w, headerExpectedWait, r.sequencer.ExpectedWait(queueName))
}

// setTime sets a header to a duration in microseconds.
func setTime(w http.ResponseWriter, name string, d time.Duration) {
	w.Header().Set(name, strconv.FormatInt(d.Microseconds(), 10))
}
