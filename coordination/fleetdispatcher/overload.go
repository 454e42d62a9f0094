package fleetdispatcher

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"radishspoke"
	"radishspoke/coordination/admitter"
	"radishspoke/coordination/fleetrouter"
)

// Admitter decides which requests are admitted if targets can't serve all. See
// admitter.Admitter.
type Admitter interface {
	InForce() bool
	Decide(r admitter.Request) admitter.Decision
	Refused(group, fingerprint string, after time.Duration)
}

// SlotTimes learns how long requests hold a slot of a target. See admitter.SlotTimes.
type SlotTimes interface {
	Observe(group, route string, units float64, took time.Duration, waits bool)
	Expect(group, route string, units float64) (time.Duration, bool)
}

// ExpectedWait returns how long a new prompt is expected to wait at an engine.
func ExpectedWait(c RelayClient, q PromptQueue, engine string) time.Duration {
	if wait, ok := c.ExpectedWait(engine); ok {
		return wait
	}
	return q.ExpectedWait(engine)
}

// checkOverload returns a failure if targets can't serve a request beside those that are worth
// more for their work. It also sets the order in which the prompt waits.
func (d *Dispatcher) checkOverload(j *job) *radishspoke.Failure {
	j.admitted, j.rank = d.Clock.Now(), j.team.Rank
	if d.Admitter == nil || !d.Admitter.InForce() {
		return nil
	}
	c := d.Admitter.Decide(d.admission(j))
	j.rank, j.work = admitter.Order(j.team.Rank, j.rule.Rank), c.Class.Bucket+1
	switch c.Reason {
	case admitter.Unreachable:
		return d.failure(j, "queue", "the answer can't begin before the deadline")
	case admitter.Overload:
		return notRunFailure(http.StatusServiceUnavailable, overloadCode, fmt.Sprintf("targets are short; %.2f of the requests like this one are admitted", c.Fraction), c.RetryAfter)
	}
	return nil
}

// recordRejection records that an admitted request did not run, so that its retry goes first.
func (d *Dispatcher) recordRejection(j *job, fail *radishspoke.Failure) {
	if d.Admitter != nil && j.admitted > 0 && fail.Status == http.StatusServiceUnavailable && fail.Code != overloadCode {
		d.Admitter.Refused(j.group.Name, j.fingerprint, fail.RetryAfter)
	}
}

// overloadCode is the code of requests that are not admitted.
const overloadCode = "overload"

// admission returns a request as one that asks to be admitted.
func (d *Dispatcher) admission(j *job) admitter.Request {
	r := admitter.Request{
		ID: j.incoming.ID, Fingerprint: j.fingerprint, Group: j.group.Name, TeamRank: j.team.Rank, RouteRank: j.rule.Rank,
		OnTime: j.onTime, Deadline: j.startBy, Begun: j.resumesStream(),
	}
	r.Work.Slot, _ = d.SlotTimes.Expect(j.group.Name, j.rule.Name, j.units())
	if j.plain() {
		r.AfterRun = r.Work.Slot
		return r
	}
	t, g := d.Estimator.Timing(j.group.Name), j.incoming.Generation
	if r.Work.Slot == 0 {
		r.Work.Slot = t.FirstEvent + time.Duration(float64(g.Output)*t.OutputToken*float64(time.Second))
	}
	r.AfterRun = t.FirstEvent
	if d.readSeparately(j) {
		r.Work.Prefill = t.Prefill(fleetrouter.OwnTokens(g))
		r.AfterRun += t.Transfer
	}
	return r
}

// units returns the size of the answer, which the time in a slot is proportional to.
func (j *job) units() float64 {
	if j.plain() {
		return 1
	}
	return float64(max(1, j.incoming.Generation.Output))
}

// recordSlot records how long an answered request held a slot, unless it went to several
// targets that answer.
func (d *Dispatcher) recordSlot(j *job) {
	if d.Admitter == nil || !d.Admitter.InForce() || j.failed != nil || j.resumesStream() || len(j.ran) > 1 {
		return
	}
	if !j.plain() {
		if j.firstEvent > 0 {
			d.SlotTimes.Observe(j.group.Name, j.rule.Name, j.units(), j.responseTime+j.lastEvent-j.firstEvent, false)
		}
		return
	}
	if !strings.Contains(j.visited, ",") {
		d.SlotTimes.Observe(j.group.Name, j.rule.Name, 1, d.Clock.Now()-j.admitted, true)
	}
}
