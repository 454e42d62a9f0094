package fleetrouter

import "time"

// Begin records that a request is sent to a target.
func (r *Router) Begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[id]; ok {
		t.inFlight++
		t.load.sent++
		t.reserved = max(0, t.reserved-1)
	}
}

// Report describes the outcome of a request at a target.
type Report struct {
	Failed       bool // the target did not complete the request
	NoResponse   bool // the target did not respond at all
	Silent       bool // the request was taken away because the target was silent
	Inconclusive bool // the request ended for reasons unrelated to the target
	NotReady     bool // the target refused the request for now
	NoRoom       bool // the target refused the request because it is full

	// Running and Waiting are the numbers of requests that run and are queued at the target,
	// and Slowness the time that work takes there relative to the usual time, or 0 if the
	// target does not state it. Slots is 0 if the target did not report its load.
	Running, Waiting, Slots int
	Slowness                float64

	// At is the time at which the load was reported; 0 for now.
	At time.Duration

	// Source is the id of the engine from which the KV cache was to be
	// transferred; empty if there was none. ResponseTime is the time until the
	// target answered; 0 if it is not known.
	Source       string
	ResponseTime time.Duration
}

// End records the outcome of a request at a target.
func (r *Router) End(id string, rep Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[id]
	if !ok {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	r.report(t, rep)
	if rep.Inconclusive {
		return
	}
	now := r.clock.Now()
	outcome := 0.0
	if rep.Failed || rep.NoResponse || rep.Silent {
		outcome = 1
	}
	t.failureShare += failureWeight * (outcome - t.failureShare)
	switch {
	case rep.Silent:
		// The requests at a target that falls silent fail together.
		if now >= t.ejectedUntil {
			t.eject(now)
		}
	case rep.NoResponse:
		t.eject(now)
	case rep.NotReady:
		t.refusals++
		if t.Role != "" && t.refusals >= refusalLimit {
			t.ejectedUntil = now + min(maxEjection, firstEjection<<min(t.refusals-refusalLimit, 8))
		}
	case !rep.Failed:
		t.failures, t.refusals, t.ejectedUntil = 0, 0, 0
	}
	if rep.ResponseTime > 0 && outcome == 0 && !rep.NotReady {
		t.observeResponse(rep.ResponseTime)
	}
	if rep.Source != "" {
		r.recordTransfer(t, rep, now)
	}
}

// Silence records that a target is silent for longer than expected, while a request still
// waits for it. The target is ejected unless it is already.
func (r *Router) Silence(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[id]; ok && r.clock.Now() >= t.ejectedUntil {
		t.eject(r.clock.Now())
	}
}

// recordTransfer updates the transfer statistics of a target and of the engine
// that held the KV cache.
func (r *Router) recordTransfer(t *target, rep Report, now time.Duration) {
	source, ok := r.targets[rep.Source]
	if !ok {
		return
	}
	switch {
	case rep.NotReady && t.refusals < refusalLimit:
		// The target has not refused several requests in a row, so it accepts
		// KV caches of other engines, and the source has lost this one.
		source.lostCaches++
		if source.lostCaches >= lostCacheLimit {
			source.noPrefillUntil = now + prefillPause
		}
	case !rep.Failed && !rep.NoResponse && !rep.Silent:
		source.lostCaches = 0
		sample := min(rep.ResponseTime, maxTransfer)
		if t.meanTransfer == 0 {
			t.meanTransfer = sample
		}
		t.meanTransfer += time.Duration(transferWeight * float64(sample-t.meanTransfer))
	}
}

// eject ejects a target for a time that doubles with each failure, up to
// maxEjection.
func (t *target) eject(now time.Duration) {
	t.ejectedUntil = now + min(maxEjection, firstEjection<<min(t.failures, 8))
	t.failures++
}
