package fleetdispatcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

const (
	// headTimeoutFactor is the time, in multiples of the objective of the route, that a
	// target may take to send the response header of an idempotent request before another
	// target is looked for.
	headTimeoutFactor = 2.0

	// successorInterval is the time between two searches for another target.
	successorInterval = 50 * time.Millisecond

	// restartFactor is the time, in multiples of the time that an idle engine needs, that
	// is kept free for the first event of another engine. It allows for work that the
	// engine has already.
	restartFactor = 2

	// transitTime is kept free for the way of an event to the caller.
	transitTime = 100 * time.Millisecond

	// minSilence is the least time without an event after which the target of a stream
	// counts as silent.
	minSilence = 500 * time.Millisecond
)

// errSilent is returned for an attempt that was given up because its target was silent.
var errSilent = errors.New("target was silent")

// headTimeout returns the time that a target may take to send the response header before
// another target is looked for.
func headTimeout(r radishspoke.PathRule) time.Duration {
	return time.Duration(headTimeoutFactor * float64(r.Objective))
}

// restartTime returns the time in which an idle engine that has not seen the prompt of a
// request sends its first event.
func (d *Dispatcher) restartTime(j *job) time.Duration {
	t := d.Estimator.Timing(j.group.Name)
	out := t.FirstEvent
	if j.incoming.Generation != nil {
		out += t.Prefill(j.incoming.Generation.Prompt) + t.TransferSetup
	}
	return out
}

// maxSilence returns the time for which the target of a stream may send no event from now
// on, before another target is looked for: the caller must still be there when that one, which
// needs the time restart, sends its first event.
func maxSilence(j *job, now, restart time.Duration) time.Duration {
	left := min(patience(j.rule), j.deadline-now)
	return max(minSilence, left-restartFactor*restart-transitTime)
}

// attemptTimer ends an attempt whose target is silent, once another target is expected to
// take the request. It does nothing if the request may not run again, or if attempts or time
// are not left.
type attemptTimer struct {
	dispatcher *Dispatcher
	cancel     context.CancelFunc // of the context of the attempt

	mu        sync.Mutex
	timer     *time.Timer // nil if the attempt is not given up any more
	held      bool        // the attempt makes progress
	job       job         // as of the last progress
	since     time.Duration
	limit     time.Duration // maximum time without progress
	asked     bool          // a target was asked for the answer, not only for a prefill
	charges   int           // retries taken from the budget
	givenUp   bool
	successor *radishspoke.Instance // nil if none is reserved
}

// startAttempt returns the context and the timer of one attempt of a request.
func (d *Dispatcher) startAttempt(ctx context.Context, j *job) (context.Context, *attemptTimer) {
	ctx, cancel := context.WithCancel(ctx)
	t := &attemptTimer{dispatcher: d, cancel: cancel, limit: headTimeout(j.rule), since: d.Clock.Now()}
	if j.idempotent() && !j.trial && j.attempts+1 < j.rule.Attempts && t.since+2*t.limit < j.deadline {
		t.job = *j
		t.job.excluded = maps.Clone(j.excluded)
		t.mu.Lock()
		t.timer = time.AfterFunc(t.limit, t.check)
		t.mu.Unlock()
	}
	return ctx, t
}

// ask records that a target is asked for the answer.
func (t *attemptTimer) ask() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked = true
}

// avoid keeps a target from being the successor.
func (t *attemptTimer) avoid(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.job.excluded[id] = true
	}
}

// hold stops the timer while the attempt makes progress, until reset. It returns false if the
// attempt has been given up: what has arrived since must not be used.
func (t *attemptTimer) hold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = true
	return !t.givenUp
}

// reset records progress of the attempt for j, and sets the time that may pass without
// further progress.
func (t *attemptTimer) reset(j *job, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer == nil || t.givenUp {
		return
	}
	t.held, t.since, t.limit = false, t.dispatcher.Clock.Now(), limit
	t.job.software, t.job.firstEvent, t.job.startBy, t.job.incoming.LastEvent = j.software, j.firstEvent, j.startBy, j.incoming.LastEvent
	t.timer.Reset(limit)
}

// check gives the attempt up if there has been no progress for too long and another target
// is expected to take the request.
func (t *attemptTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer == nil || t.held || t.givenUp {
		return
	}
	silent := t.dispatcher.Clock.Now() - t.since
	if silent < t.limit {
		t.timer.Reset(t.limit - silent)
		return
	}
	if !t.findSuccessor() {
		t.timer.Reset(successorInterval)
		return
	}
	t.givenUp = true
	t.dispatcher.Recorder.ObserveGiveUp()
	t.dispatcher.Log.Warn("silent attempt given up", "id", t.job.incoming.ID, "target", t.job.current.ID, "after", silent)
	t.cancel()
}

// findSuccessor reports whether the request can go on at another target. It takes the
// retries that this needs from the budget. Unless the prompt has to be prefilled by another
// engine first, it also reserves the target. The timer must be locked.
func (t *attemptTimer) findSuccessor() bool {
	d, j, now := t.dispatcher, &t.job, t.dispatcher.Clock.Now()
	restart := d.restartTime(j)
	if !j.idempotent() || now+restart >= j.startBy {
		return false
	}
	if _, _, refused := d.Quarantine.Refuses(j.subject()); refused || j.key.Hash != "" && d.Configurations.Configuration().Keys.Valid(j.key) != nil {
		return false
	}
	// Once the caller has a part of the answer, the successor must go on soon. Shortly before
	// the caller leaves, a target with other work is better than none.
	sel := j.selection()
	sel.Free = j.firstEvent > 0 && now+restart+transitTime < j.startBy
	charges := 1
	if j.firstEvent > 0 {
		charges++ // to return to the silent target, if the successor does not take the request
	}
	plain := j.group.Engine == nil || j.incoming.Generation == nil
	role := radishspoke.DecodeRole
	if plain {
		role = ""
	}
	if !d.Router.Has(j.group.Name, role, sel) {
		return false
	}
	if !plain && d.readSeparately(j) {
		left := j.startBy - now - d.Estimator.Timing(j.group.Name).FirstEvent
		return d.Router.CanPrefill(j.group, j.incoming.Generation, d.expectedWait, left, j.selection()) && t.charge(charges+1)
	}
	if !t.charge(charges) {
		return false
	}
	pick := d.Router.PickShort
	if plain {
		pick = d.Router.PickPlain
	}
	next, err := pick(j.group.Name, sel)
	if err != nil {
		return false
	}
	t.successor = &next
	return true
}

// charge takes retries from the budget until the attempt has n, and reports whether it has.
// The timer must be locked.
func (t *attemptTimer) charge(n int) bool {
	for ; t.charges < n; t.charges++ {
		if !t.dispatcher.RetryBudgets.Retry(t.job.group.Name) {
			t.refund()
			return false
		}
	}
	return true
}

// refund returns the retries of the attempt to the budget. The timer must be locked.
func (t *attemptTimer) refund() {
	for ; t.charges > 0; t.charges-- {
		t.dispatcher.RetryBudgets.Return(t.job.group.Name)
	}
}

// finish ends the supervision of the attempt and reports whether it was given up. If it was,
// j gets the successor and the retries.
func (t *attemptTimer) finish(j *job) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer == nil {
		return t.givenUp
	}
	t.timer.Stop()
	t.timer = nil
	if !t.givenUp {
		t.refund()
		return false
	}
	j.successor, j.credits = t.successor, j.credits+t.charges
	j.silent = append(j.silent, t.job.current.ID)
	return true
}

// end ends the attempt.
func (t *attemptTimer) end(j *job) {
	t.finish(j)
	t.cancel()
}

// takeRetry takes a retry for a request: one that has been taken from the budget before, or
// one from the budget.
func (d *Dispatcher) takeRetry(j *job) bool {
	if j.credits > 0 {
		j.credits--
		return true
	}
	return d.RetryBudgets.Retry(j.group.Name)
}

// settle releases what is reserved for further attempts of a request that has ended.
func (d *Dispatcher) settle(j *job) {
	if j.successor != nil {
		d.Router.Unpick(j.successor.ID)
		j.successor = nil
	}
	for ; j.credits > 0; j.credits-- {
		d.RetryBudgets.Return(j.group.Name)
	}
}

// readmitSilent makes targets that were given up for silence eligible again. It returns false
// if there are none.
func (j *job) readmitSilent() bool {
	found := false
	for _, id := range j.silent {
		found = found || j.excluded[id]
		delete(j.excluded, id)
	}
	j.silent = nil
	return found
}
