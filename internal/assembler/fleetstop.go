package assembler

import (
	"context"
	"net/http"
	"time"

	"radishspoke/coordination/fleetdispatcher"
)

// Durations in a planned stop, within the platform's grace period.
const (
	// notReadyTime is the time that the platform may need to notice that an
	// entry is not ready: two checks one second apart, and their responses.
	notReadyTime = 2200 * time.Millisecond

	// lateConnTime is the time for which the entry still accepts new
	// connections after that. It covers connections that were being opened when
	// the platform noticed.
	lateConnTime = 200 * time.Millisecond

	// stopMargin is the part of the grace period that remains when the last
	// connections are closed. It is enough to write usage and to send the last
	// datagrams.
	stopMargin = 900 * time.Millisecond

	// lastAnswerTime limits the time in which the last answers are sent before all
	// connections are closed. It is part of stopMargin.
	lastAnswerTime = 100 * time.Millisecond

	// idlePoll is the interval at which a stopping entry checks whether
	// requests are still in progress.
	idlePoll = 20 * time.Millisecond

	// usageWriteTimeout limits the time in which a stopping entry writes its
	// usage counts.
	usageWriteTimeout = 300 * time.Millisecond
)

// Stop ends the entry after the requests of callers have been answered. The entry
// reports that it is not ready and serves until the platform sends no new callers
// to it. From then on it asks callers to close their connections after the next
// response. Stop returns once all requests in progress have been answered or the
// grace period is nearly over; requests that have no answer then get a failure. It
// returns as early as possible, because the host serves callers again only after its
// next process has started.
func (e *FleetEntry) Stop() {
	deadline := e.env.Clock.Now() + e.settings.Bounds.Grace - stopMargin
	e.stopDeadline.Store(int64(deadline))
	e.leaving.Store(true)
	e.env.Log.Info("entry stops", "process", e.settings.Name)
	time.Sleep(notReadyTime)
	e.stopPhase.Store(closing)
	time.Sleep(lateConnTime)
	if e.listener != nil {
		if err := e.listener.Drain(); err != nil {
			e.env.Log.Warn("listener not drained", "error", err)
		}
	}
	e.closeCallers(deadline)
	ctx, cancel := context.WithTimeout(context.Background(), usageWriteTimeout)
	if err := e.biller.SaveOnStop(ctx); err != nil {
		e.env.Log.Warn("usage not written at the stop", "error", err)
	}
	cancel()
	e.gossiper.Leave()
	time.Sleep(2 * gossipInterval) // the last usage counts reach the other entries
	e.stopTasks()
	_ = e.readyServer.Close()
	_ = e.peerServer.Close()
	_ = e.metricsServer.Close()
	_ = e.udpConn.Close()
	e.tasks.Wait()
	e.env.Log.Info("entry stopped", "process", e.settings.Name)
}

// closeCallers closes the connections of callers once no request is arriving or in
// progress. The last requests to arrive are refused. Requests that are still in
// progress at the given clock time are interrupted. Refusals and the failures of
// interrupted requests are sent in full.
func (e *FleetEntry) closeCallers(deadline time.Duration) {
	idle := func() bool { return e.activeRequests.Load() == 0 && e.conns.Count() == 0 }
	for !idle() && e.env.Clock.Now() < deadline {
		time.Sleep(idlePoll)
	}
	e.stopPhase.Store(refusing)
	for time.Sleep(idlePoll); !idle() && e.env.Clock.Now() < deadline; { // requests taken meanwhile
		time.Sleep(idlePoll)
	}
	if n := e.activeRequests.Load(); n > 0 {
		e.interrupted.Store(n)
		e.env.Log.Warn("requests interrupted at the end of the grace period", "requests", n)
	}
	e.interrupt()
	// Shutdown of the server would drop the requests that arrive meanwhile.
	for !idle() && e.env.Clock.Now() < deadline+lastAnswerTime {
		time.Sleep(idlePoll)
	}
	if n := e.activeRequests.Load(); n > 0 {
		e.env.Log.Warn("connections closed before the last answers were sent", "requests", n)
	}
	_ = e.callerServer.Close()
}

// Values of FleetEntry.stopPhase.
const (
	serving  int32 = iota
	closing        // responses ask callers to close the connection
	refusing       // new requests are refused
)

// trackRequests returns a handler that calls h and counts the requests in
// progress. While the entry stops, the handler asks callers to close their
// connections. Idle connections are not closed from this side before the end,
// because a request may be arriving on them.
func (e *FleetEntry) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.activeRequests.Add(1)
		defer e.activeRequests.Add(-1)
		if e.Closing() {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(e.ending, func() { cancel(fleetdispatcher.ErrInterrupted) })()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Remaining returns the time within which new requests must be answered and true,
// or 0 and false if the entry does not stop. It implements
// fleetdispatcher.Shutdown.
func (e *FleetEntry) Remaining() (time.Duration, bool) {
	deadline := e.stopDeadline.Load()
	if deadline == 0 {
		return 0, false
	}
	if e.stopPhase.Load() == refusing {
		return 0, true
	}
	return time.Duration(deadline) - e.env.Clock.Now(), true
}

// Closing reports whether the entry asks callers to close their connections. It
// implements fleetdispatcher.Shutdown.
func (e *FleetEntry) Closing() bool { return e.stopPhase.Load() != serving }
