package fleetdispatcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"radishspoke/coordination/fleetrouter"
)

// prefillTimer supervises a prefill. If it takes too long, the router learns that the engine is
// silent, and the prefill ends once another engine is expected to do it in time and a retry is
// left.
type prefillTimer struct {
	dispatcher *Dispatcher
	cancel     context.CancelFunc // of the context of the prefill
	engine     string

	mu    sync.Mutex
	timer *time.Timer // nil after the end
	job   job         // as of the begin of the prefill, without the engine
}

// startPrefill returns the context and the timer of a prefill of a request.
func (d *Dispatcher) startPrefill(ctx context.Context, j *job, p fleetrouter.Placement) (context.Context, *prefillTimer) {
	t := &prefillTimer{dispatcher: d, engine: p.Engine.ID, job: *j}
	ctx, t.cancel = context.WithCancel(ctx)
	t.job.credits = 0
	t.job.excluded = maps.Clone(j.excluded)
	t.job.excluded[t.engine] = true
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(prefillTimeout(j, p, d.Clock.Now()), t.check)
	return ctx, t
}

// check ends the prefill if another engine is expected to take its place.
func (t *prefillTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer == nil {
		return
	}
	d, j := t.dispatcher, &t.job
	d.Router.Silence(t.engine)
	left := j.startBy - d.Clock.Now() - d.Estimator.Timing(j.group.Name).FirstEvent
	if j.breaks+1 >= maxBreaks || !d.Router.CanPrefill(j.group, j.incoming.Generation, d.expectedWait, left, j.selection()) || !d.takeRetries(j, 1) {
		t.timer.Reset(successorInterval)
		return
	}
	d.Log.Warn("silent prefill given up", "id", j.incoming.ID, "engine", t.engine)
	t.cancel()
}

// end ends the supervision. The retry that was taken for the next prefill belongs to j.
func (t *prefillTimer) end(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.timer = nil
	t.cancel()
	j.credits += t.job.credits
}
