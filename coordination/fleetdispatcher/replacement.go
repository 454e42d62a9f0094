package fleetdispatcher

import (
	"context"
	"maps"
	"net/http"
	"time"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
)

// replacement is an attempt at another target that has begun to answer in place of a silent
// one.
type replacement struct {
	job    *job // state of the request in that attempt
	shared int  // length of job.visited before the attempt
	plan   prefillPlan
	reply  *reply
	sent   time.Duration // time at which the request was sent to the target
	took   time.Duration // time that the target took to answer
	cancel context.CancelFunc
}

// adopt makes a request go on with a replacement.
func (j *job) adopt(r *replacement) {
	j.replacement, j.mayHaveRun = r, true
	maps.Copy(j.excluded, r.job.excluded)
	j.visited += r.job.visited[r.shared:]
	j.trial, j.noRelay = r.job.trial, r.job.noRelay
	j.queueTime, j.prefill = r.job.queueTime, r.job.prefill
}

// discard ends a replacement that is not used.
func (d *Dispatcher) discard(r *replacement) {
	r.reply.Close()
	if r.cancel != nil {
		r.cancel()
	}
	r.plan.end(0)
	d.Router.End(r.plan.decoder.ID, fleetrouter.Report{Inconclusive: true})
}

// beginElsewhere has another target answer a request, while the last one is silent. It returns
// as soon as the target has sent the header of a successful answer, or nil if none does. The
// function mayAsk is called before a target is asked for the answer; it returns false if the
// answer is not needed any more. All retries that j holds and that are not used go back to the
// budget.
func (d *Dispatcher) beginElsewhere(ctx context.Context, j *job, mayAsk func(p prefillPlan) bool) *replacement {
	defer d.settle(j)
	shared := len(j.visited)
	p, ok := d.planElsewhere(ctx, j)
	if !ok {
		return nil
	}
	t := *p.decoder
	if !mayAsk(p) || !d.claim(j, p) {
		d.drop(p)
		return nil
	}
	j.current = t
	j.visit(t)
	d.Router.Begin(t.ID)
	out := &replacement{job: j, shared: shared, plan: p, sent: d.Clock.Now()}
	var err error
	if j.plain() {
		out.reply, err = d.send(ctx, j, t, platform.TargetHeader{})
	} else {
		out.reply, out.took, err = d.openStream(ctx, j, p, nil)
	}
	switch {
	case err != nil && j.plain():
		d.plainNotAnswered(ctx, j, t, out.sent, err, nil)
	case err != nil:
		d.streamNotOpened(ctx, j, p, nil, out.sent, err)
	case out.reply.NotRun:
		d.handleRefusal(ctx, j, p, out.reply, out.took)
		out.reply.Close()
	case !out.reply.Stamped || !j.accepts(out.reply.Status):
		d.Router.End(t.ID, fleetrouter.Report{Failed: true})
		j.markRun(t.ID)
		out.reply.Close()
	default:
		return out
	}
	p.end(0)
	if j.kept != nil {
		relayer.ReleaseHandle(d.Targets, j.kept.handle, d.Log)
		j.kept = nil
	}
	return nil
}

// accepts reports whether an answer with the given status may take the place of one that is
// still awaited.
func (j *job) accepts(status int) bool {
	if j.plain() {
		return status < http.StatusInternalServerError
	}
	return status == http.StatusOK
}

// planElsewhere chooses the target of an attempt beside a silent one, and has the prompt
// prefilled if another engine than that does so. It returns false if no target can be used or
// the request may not be sent.
func (d *Dispatcher) planElsewhere(ctx context.Context, j *job) (prefillPlan, bool) {
	if !d.takeRetry(j) || d.checkQuarantine(j) != nil {
		return prefillPlan{}, false
	}
	var p prefillPlan
	if j.successor != nil {
		p.decoder, j.successor = j.successor, nil
	} else if !j.plain() {
		var fail *radishspoke.Failure
		if p, fail = d.planPrefill(ctx, j); fail != nil {
			return prefillPlan{}, false
		}
	}
	if !j.plain() && d.holdDecoder(ctx, j, &p) != nil {
		d.drop(p)
		return prefillPlan{}, false
	}
	if p.decoder == nil {
		t, err := d.pickDecode(j, p)
		if err != nil {
			d.drop(p)
			return prefillPlan{}, false
		}
		p.decoder = &t
	}
	if d.checkKey(j) != nil || d.checkQuarantine(j) != nil {
		d.drop(p)
		return prefillPlan{}, false
	}
	return p, true
}
