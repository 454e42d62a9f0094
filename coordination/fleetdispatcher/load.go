package fleetdispatcher

import (
	"sync"
	"time"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/platform"
)

// LoadRecorder counts what targets say of their load.
type LoadRecorder interface {
	// ObserveBadSlowness records a stated slowness that makes no sense.
	ObserveBadSlowness()
}

// maxOddLoads bounds the targets that are remembered for having stated nonsense.
const maxOddLoads = 1024

// oddLoads keeps which targets have stated a slowness that makes no sense.
type oddLoads struct {
	mu     sync.Mutex
	logged map[string]bool // by lifetime
}

// first reports whether a target is seen for the first time.
func (o *oddLoads) first(lifetime string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.logged[lifetime] {
		return false
	}
	if len(o.logged) >= maxOddLoads {
		clear(o.logged)
	}
	o.logged[lifetime] = true
	return true
}

// checkLoad records a stated slowness that makes no sense, and logs the first one of a target.
func (d *Dispatcher) checkLoad(t radishspoke.Instance, a platform.AnswerHeader) {
	if a.BadSlowness == "" {
		return
	}
	d.Recorder.ObserveBadSlowness()
	if d.oddLoads.first(t.Lifetime()) {
		d.Log.Warn("target states a slowness that makes no sense", "target", t.ID, "value", a.BadSlowness)
	}
}

// loadReport returns a report to the router of the load in an answer that has just arrived.
func (d *Dispatcher) loadReport(a platform.AnswerHeader, noRoom bool) fleetrouter.Report {
	return fleetrouter.Report{
		NoRoom: noRoom, Running: a.Running, Waiting: a.Waiting, Slots: a.Slots, Slowness: a.Slowness, At: d.Clock.Now(),
	}
}

// usualTime returns the time that work would have taken at the usual speed of a target, by
// what it stated at the end.
func usualTime(took time.Duration, a platform.AnswerHeader) time.Duration {
	if a.Slowness == 0 {
		return took
	}
	return time.Duration(float64(took) / a.Slowness)
}
