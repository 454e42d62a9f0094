package fleetdispatcher

import (
	"context"
	"maps"
	"slices"
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

// errSilent is returned for an attempt that was given up because its target was silent and
// another one has begun to answer.
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

// attemptTimer supervises an attempt. While its target is silent, another target is asked for
// the answer, and the attempt ends once that one has begun to answer. The timer does nothing if
// the request may not run again, or if attempts or time are not left.
type attemptTimer struct {
	dispatcher *Dispatcher
	ctx        context.Context    // of the request
	cancel     context.CancelFunc // of the context of the attempt

	mu          sync.Mutex
	timer       *time.Timer // nil if the attempt is not supervised any more
	held        bool        // the attempt makes progress, or has ended
	job         job         // as of the last progress
	since       time.Duration
	limit       time.Duration // maximum time without progress
	asked       bool          // a target was asked for the answer, not only for a prefill
	search      *search       // nil if no other target is being asked
	ran         []string      // ids of other targets that may have run the request
	breaks      int           // number of other engines that have broken it off
	replacement *replacement  // nil until another target has begun to answer
	givenUp     bool          // the attempt was ended for the replacement
}

// search is one try to have another target answer.
type search struct {
	cancel context.CancelFunc
	done   chan struct{} // closed after the search has ended
	target string        // id of the target that was asked for the answer; empty before
	until  time.Duration // time at which that target counts as silent
}

// startAttempt returns the context and the timer of one attempt of a request. The delay is the
// expected time until the target can begin to answer.
func (d *Dispatcher) startAttempt(ctx context.Context, j *job, delay time.Duration) (context.Context, *attemptTimer) {
	t := &attemptTimer{dispatcher: d, ctx: ctx, limit: headTimeout(j.rule) + delay, since: d.Clock.Now()}
	ctx, t.cancel = context.WithCancel(ctx)
	if j.idempotent() && !j.trial && len(j.ran)+1 < j.rule.Attempts && t.since+2*t.limit < j.deadline {
		t.job = *j
		t.job.credits = 0 // they belong to j
		t.job.excluded = maps.Clone(j.excluded)
		delete(t.job.excluded, j.current.ID) // until it is asked
		t.mu.Lock()
		t.timer = time.AfterFunc(t.limit, t.check)
		t.mu.Unlock()
	}
	return ctx, t
}

// ask records that a target is asked for the answer.
func (t *attemptTimer) ask() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked = true
	if t.timer != nil {
		t.job.excluded[t.job.current.ID] = true
	}
}

// supervises reports whether another target is looked for while there is no progress.
func (t *attemptTimer) supervises() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timer != nil
}

// avoid keeps a target from being asked in place of the current one.
func (t *attemptTimer) avoid(id string) {
	if t == nil {
		return
	}
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
	t.abandon()
	return t.replacement == nil
}

// reset records progress of the attempt for j, and sets the time that may pass without
// further progress. A target that has been asked meanwhile may still answer first, unless hold was
// called before.
func (t *attemptTimer) reset(j *job, limit time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer == nil || t.replacement != nil {
		return
	}
	if t.search != nil && t.search.target == "" {
		t.abandon()
	}
	t.held, t.since, t.limit = false, t.dispatcher.Clock.Now(), limit
	t.job.software, t.job.firstEvent, t.job.startBy, t.job.incoming.LastEvent = j.software, j.firstEvent, j.startBy, j.incoming.LastEvent
	t.timer.Reset(limit)
}

// abandon ends a search whose result is not needed. The timer must be locked.
func (t *attemptTimer) abandon() {
	if t.search == nil {
		return
	}
	t.search.cancel()
	if t.search.target != "" {
		t.ran = append(t.ran, t.search.target)
	}
	t.search = nil
}

// check begins a search if there has been no progress for too long and another target is
// expected to take the request. A search whose target is silent too ends if there is a further
// one.
func (t *attemptTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer == nil || t.replacement != nil || t.search == nil && t.held {
		return
	}
	silentAt := t.since + t.limit
	if t.search != nil {
		if t.search.target == "" {
			return
		}
		silentAt = t.search.until
	}
	if left := silentAt - t.dispatcher.Clock.Now(); left > 0 {
		t.timer.Reset(left)
		return
	}
	next := t.nextAttempt()
	if next == nil {
		t.timer.Reset(successorInterval)
		return
	}
	if t.search != nil {
		t.job.excluded[t.search.target] = true
		t.abandon()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.search = &search{cancel: cancel, done: make(chan struct{})}
	go t.replace(ctx, t.search, next)
}

// replace asks another target for the answer and, if that one begins to answer while the
// attempt is still silent, ends the attempt.
func (t *attemptTimer) replace(ctx context.Context, s *search, next *job) {
	defer close(s.done)
	breaks := next.breaks
	r := t.dispatcher.beginElsewhere(ctx, next, func(p prefillPlan) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.search != s {
			return false
		}
		limit := headTimeout(next.rule) + p.headDelay()
		s.target, s.until = p.decoder.ID, t.dispatcher.Clock.Now()+limit
		if t.timer != nil {
			t.timer.Reset(limit)
		}
		return true
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks += next.breaks - breaks
	t.job.breaks += next.breaks - breaks
	switch {
	case t.search != s: // there has been progress since, or the attempt has ended
		s.cancel()
		if r != nil {
			t.dispatcher.discard(r)
		}
	case r == nil:
		s.cancel()
		t.search = nil
		if s.target != "" && slices.Contains(next.ran, s.target) {
			t.ran = append(t.ran, s.target)
		}
		t.job.excluded, t.job.noRelay = next.excluded, next.noRelay
		if t.timer != nil {
			t.timer.Reset(successorInterval)
		}
	default:
		r.cancel = s.cancel
		t.search, t.replacement = nil, r
		if t.held { // the attempt has ended by itself
			return
		}
		t.givenUp = true
		t.dispatcher.Recorder.ObserveGiveUp()
		t.dispatcher.Log.Warn("silent attempt given up", "id", t.job.incoming.ID, "target", t.job.current.ID, "after", t.dispatcher.Clock.Now()-t.since, "successor", next.current.ID)
		t.cancel()
	}
}

// nextAttempt returns the request as it is sent to another target, or nil if none is expected to
// take it. It takes the retries that this needs from the budget. Unless the prompt has to be
// prefilled by another engine first, it also reserves the target. The timer must be locked.
func (t *attemptTimer) nextAttempt() *job {
	d, next, now := t.dispatcher, t.job, t.dispatcher.Clock.Now()
	j := &next
	j.excluded = maps.Clone(j.excluded)
	j.requested, j.counted = true, true // the attempt counts the request
	restart := d.restartTime(j)
	if t.asked {
		j.markRun(j.current.ID)
	}
	for _, id := range t.ran {
		j.markRun(id)
	}
	if t.search != nil {
		j.excluded[t.search.target] = true
		j.markRun(t.search.target)
	}
	targets := len(j.ran)
	if !t.asked {
		targets++ // the one that this attempt asks later
	}
	if !j.idempotent() || targets >= j.rule.Attempts && !j.mayReturn() || now+restart >= j.startBy {
		return nil
	}
	if _, _, refused := d.Quarantine.Refuses(j.subject()); refused || d.checkKey(j) != nil {
		return nil
	}
	// Once the caller has a part of the answer, the other target must go on soon. Shortly before
	// the caller leaves, a target with other work is better than none.
	sel := j.selection()
	sel.Free = j.firstEvent > 0 && now+restart+transitTime < j.startBy
	if !d.Router.Has(j.group.Name, j.answerRole(), sel) {
		return nil
	}
	if !j.plain() && d.readSeparately(j) {
		if j.breaks >= maxBreaks {
			return nil
		}
		left := j.startBy - now - d.Estimator.Timing(j.group.Name).FirstEvent
		if !d.Router.CanPrefill(j.group, j.incoming.Generation, d.expectedWait, left, j.selection()) || !d.takeRetries(j, 2) {
			return nil
		}
		return j
	}
	if !d.takeRetries(j, 1) {
		return nil
	}
	pick := d.Router.PickShort
	if j.plain() {
		pick = d.Router.PickPlain
	}
	target, err := pick(j.group.Name, sel)
	if err != nil {
		d.settle(j)
		return nil
	}
	j.successor = &target
	return j
}

// finish ends the supervision of an attempt that has failed and reports whether it was given
// up. If another target is being asked, finish waits for the outcome. If one has begun to
// answer, j goes on with it.
func (t *attemptTimer) finish(j *job) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	t.held = true
	for t.search != nil {
		done := t.search.done
		t.mu.Unlock()
		<-done
		t.mu.Lock()
	}
	defer t.mu.Unlock()
	return t.close(j)
}

// close is finish for callers that hold the lock, without a search.
func (t *attemptTimer) close(j *job) bool {
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
		j.breaks += t.breaks
		for _, id := range t.ran {
			j.markRun(id)
			j.excluded[id] = j.excluded[id] || t.job.excluded[id]
		}
		if len(t.ran) > 0 && j.plain() {
			t.dispatcher.countBegun(j)
		}
		if t.replacement != nil {
			j.adopt(t.replacement)
		}
		if t.givenUp {
			j.silent = append(j.silent, t.job.current.ID)
		}
	}
	return t.givenUp
}

// end ends the attempt.
func (t *attemptTimer) end(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandon()
	t.close(j)
	t.cancel()
}
