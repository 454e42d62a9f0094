package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/placer"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
	"radishspoke/transport/caller"
)

// reply is a target's answer that belongs to the request.
type reply struct {
	*caller.Answer
	platform.Answering
}

// send sends a request to a target once. The error is one of package caller.
func (f *Forwarder) send(ctx context.Context, j *job, t radishspoke.Instance, o platform.Outgoing) (*reply, error) {
	o.Instance, o.Left = t.ID, j.deadline-f.Clock.Now()
	r := j.request()
	a, err := f.Targets.Do(ctx, t.Address, r.Call(o))
	if err != nil {
		return nil, err
	}
	return &reply{Answer: a, Answering: platform.DecodeAnswer(a.Status, a.Header)}, nil
}

// request returns what is sent to targets.
func (j *job) request() relayer.Request {
	return relayer.Request{
		ID: j.in.ID, Method: j.method, Target: j.target, Host: j.host, Header: j.header, Body: j.body,
		Team: j.team.Name, LastEvent: j.in.LastEvent,
	}
}

// report turns the outcome of a send into news of the target.
func report(ctx context.Context, r *reply, err error) placer.Report {
	if err != nil {
		return placer.Report{Failed: true, NoResponse: true, Inconclusive: errors.Is(context.Cause(ctx), context.Canceled)}
	}
	return placer.Report{
		Failed: r.Status >= http.StatusInternalServerError && !r.NotRun, NotReady: r.NotRun,
		Waiting: r.Waiting, Slots: r.Slots,
	}
}

// whether a failed send may be followed by another one.
type verdict int

const (
	final verdict = iota // the request is settled
	again                // another target may be tried
)

// judge decides what follows a send without an answer to pass on. Lost is set
// if the target may have run the request, paid if the repeat was taken from
// the budget already.
func (f *Forwarder) judge(ctx context.Context, j *job, lost, paid bool) verdict {
	if ctx.Err() != nil || f.Clock.Now() >= j.deadline {
		return final
	}
	if lost && (!j.idempotent() || j.tries >= j.rule.Attempts) {
		return final
	}
	if !paid && !f.Repeats.Repeat(j.group.Name) {
		return final
	}
	return again
}

// plain sends a request to a plain service.
func (f *Forwarder) plain(ctx context.Context, j *job, s *sink) *radishspoke.Failure {
	last := "no target"
	for {
		t, err := f.Placer.PickPlain(j.group.Name, j.tried)
		if err != nil {
			return f.failed(j, "target", last+": "+err.Error())
		}
		if fail := f.withdrawn(j); fail != nil {
			return fail
		}
		next, why := f.try(ctx, j, s, t)
		if next == final {
			if why == "" {
				return nil
			}
			return f.failed(j, "target", why)
		}
		last = why
	}
}

// silence is how long a target may take with the head of an answer to a
// request that may be repeated, in multiples of the objective, before another
// one is asked.
const silence = 2.0

// try sends a plain request to one target and passes its answer on.
func (f *Forwarder) try(ctx context.Context, j *job, s *sink, t radishspoke.Instance) (verdict, string) {
	j.visit(t)
	f.Placer.Begin(t.ID)
	each, p := f.patience(ctx, j)
	defer p.end()
	r, err := f.send(each, j, t, platform.Outgoing{})
	if err != nil {
		f.Placer.End(t.ID, report(ctx, nil, err))
		lost := !errors.Is(err, caller.ErrNotSent)
		if lost {
			j.ran()
			f.begin(j)
			f.Targets.Forget(t.Address)
		}
		return f.judge(ctx, j, lost, p.paid.Load()), err.Error()
	}
	defer r.Close()
	news := report(ctx, r, nil)
	if r.NotRun {
		f.Placer.End(t.ID, news)
		return f.judge(ctx, j, false, p.paid.Load()), "target does not take the request now"
	}
	j.ran()
	f.begin(j)
	defer f.Placer.End(t.ID, news)
	if !r.Stamped {
		return f.judge(ctx, j, true, p.paid.Load()), "answer does not come from a target"
	}
	if r.Status >= http.StatusInternalServerError && j.rule.Kind == radishspoke.Safe && f.judge(ctx, j, true, p.paid.Load()) == again {
		return again, "target failed"
	}
	p.extend(j.deadline - f.Clock.Now())
	if err := s.whole(r.Status, r.Header, r); err != nil {
		if s.started {
			return final, err.Error()
		}
		return f.judge(ctx, j, true, p.paid.Load()), err.Error()
	}
	return final, ""
}

// patience ends a try that shows no sign of life, if the request may be
// repeated and tries, time and budget are left for another one.
type patience struct {
	wait   time.Duration // for a sign of life
	cancel context.CancelFunc
	timer  *time.Timer // nil if the try is not bounded
	paid   atomic.Bool // the repeat that follows is paid for
}

// patience returns the context of one try of a request.
func (f *Forwarder) patience(ctx context.Context, j *job) (context.Context, *patience) {
	ctx, cancel := context.WithCancel(ctx)
	wait := time.Duration(silence * float64(j.rule.Objective))
	p := &patience{wait: wait, cancel: cancel}
	if j.idempotent() && j.tries+1 < j.rule.Attempts && f.Clock.Now()+2*wait < j.deadline {
		p.timer = time.AfterFunc(wait, func() {
			if f.Repeats.Repeat(j.group.Name) {
				p.paid.Store(true)
				cancel()
			}
		})
	}
	return ctx, p
}

// extend waits anew, for d.
func (p *patience) extend(d time.Duration) {
	if p.timer != nil {
		p.timer.Reset(d)
	}
}

// end frees what the try holds.
func (p *patience) end() {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.cancel()
}

// visit notes a target in the path of a request.
func (j *job) visit(t radishspoke.Instance) {
	j.tried[t.ID] = true
	if j.path != "" {
		j.path += ","
	}
	j.path += t.ID
}

// ran notes that a target may have run the request.
func (j *job) ran() {
	j.sent = true
	j.tries++
}

// begin counts a request as begun, once.
func (f *Forwarder) begin(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	if j.team.Name != "" {
		f.Usage.Begun(j.team.Name)
	}
}
