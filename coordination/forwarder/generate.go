package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/placer"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
)

const (
	// readApart is the least number of own prompt tokens that are worth
	// being read by another engine than the one that generates: about one
	// hand-over of the KV cache.
	readApart = 512

	// handOver is the time from the end of reading to the first event.
	handOver = 8 * time.Millisecond
)

// prompt is how a request's prompt comes to the engine that generates.
type prompt struct {
	relay  *radishspoke.Instance // the engine whose sidecar takes the request through both; nil if none does
	expect time.Duration         // until that engine has read it
	handle *radishspoke.Handle   // of the KV cache, if another engine has read it
	reader string                // id of that engine
	zone   string                // of that engine
	engine *radishspoke.Instance // that is to read it itself; nil for any
	done   func(time.Duration)   // ends the turn of that engine
}

// expect returns how long a new prompt would wait for its turn at an engine, and
// take it.
func (f *Forwarder) expect(engine string) time.Duration {
	if d, ok := f.Relays.ExpectedDelay(engine); ok {
		return d
	}
	return f.Turns.ExpectedDelay(engine)
}

// end ends the turn of a prompt, if it has one.
func (p prompt) end(took time.Duration) {
	if p.done != nil {
		p.done(took)
	}
}

// generate sends a request to a model's engines.
func (f *Forwarder) generate(ctx context.Context, j *job, s *sink) *radishspoke.Failure {
	last := "no engine"
	for {
		p, fail := f.prepare(ctx, j)
		if fail != nil {
			return fail
		}
		if p.engine == nil {
			t, err := f.generator(j, p)
			if err != nil {
				relayer.ReleaseHandle(f.Targets, p.handle, f.Log)
				return f.failed(j, "engine", last+": "+err.Error())
			}
			p.engine = &t
		}
		if fail := f.withdrawn(j); fail != nil {
			relayer.ReleaseHandle(f.Targets, p.handle, f.Log)
			p.end(0)
			return fail
		}
		next, why := f.stream(ctx, j, s, p)
		if next == final {
			switch {
			case why == "":
				return nil
			case j.hopeless:
				return f.failed(j, "queue", "the prompt can't be read before the deadline")
			}
			return f.failed(j, "engine", why)
		}
		last = why
	}
}

// generator chooses the engine that generates.
func (f *Forwarder) generator(j *job, p prompt) (radishspoke.Instance, error) {
	if p.reader == "" {
		return f.Placer.PickShort(j.group.Name, j.tried)
	}
	return f.Placer.PickDecode(j.group.Name, p.zone, j.tried)
}

// prepare has a long prompt read, or finds the engine that does so itself.
func (f *Forwarder) prepare(ctx context.Context, j *job) (prompt, *radishspoke.Failure) {
	own := j.in.Generating.Prompt
	if p := j.in.Generating.Parts; len(p) > 0 {
		own = p[len(p)-1].Tokens
	}
	if own < readApart {
		return prompt{}, nil
	}
	if f.Placer.DecodeSaturated(j.group.Name) {
		return prompt{}, f.failed(j, "engine", "no engine takes another answer now")
	}
	for {
		t, expected, err := f.Placer.PickPrefill(j.group.Name, j.in.Generating, f.expect, j.tried)
		if err != nil {
			return prompt{}, f.failed(j, "engine", err.Error())
		}
		if t.Role == radishspoke.PrefillRole && !j.direct && f.Relays.Worthwhile(t.ID, len(j.body)) {
			return prompt{relay: &t, expect: expected, reader: t.ID, zone: t.Zone}, nil
		}
		asked := f.Clock.Now()
		done, err := f.Turns.Wait(ctx, t.ID, sequencer.Ticket{Rank: j.team.Rank, OnTime: j.onTime, Deadline: j.deadline, AfterTurn: handOver})
		j.turn += f.Clock.Now() - asked
		if err != nil {
			return prompt{}, f.failed(j, "queue", "the prompt can't be read before the deadline")
		}
		if t.Role != radishspoke.PrefillRole {
			return prompt{engine: &t, done: done}, nil
		}
		began := f.Clock.Now()
		h, why, err := f.read(ctx, j, t, expected)
		j.read += f.Clock.Now() - began
		if err == nil {
			done(f.Clock.Now() - began)
			return prompt{handle: h, reader: t.ID, zone: t.Zone}, nil
		}
		done(0)
		if f.judge(ctx, j, false, false) == final {
			return prompt{}, f.failed(j, "engine", why)
		}
	}
}

// read has a prompt read by one engine.
func (f *Forwarder) read(ctx context.Context, j *job, t radishspoke.Instance, expected time.Duration) (*radishspoke.Handle, string, error) {
	j.visit(t)
	delete(j.tried, t.ID) // reading is not running
	f.Placer.Begin(t.ID)
	r := j.request()
	c := r.Call(platform.Outgoing{Instance: t.ID, Left: j.deadline - f.Clock.Now(), Read: true})
	h, a, err := relayer.Read(ctx, f.Targets, t.Address, c, expected)
	switch {
	case err == nil:
		f.Placer.End(t.ID, placer.Report{Waiting: a.Waiting, Slots: a.Slots})
		return h, "", nil
	case errors.Is(err, relayer.ErrNotRead):
		f.Placer.End(t.ID, placer.Report{Failed: !a.NotRun, NotReady: a.NotRun, Waiting: a.Waiting, Slots: a.Slots})
	default:
		f.Placer.End(t.ID, report(ctx, nil, err))
		f.Targets.Forget(t.Address)
	}
	j.tried[t.ID] = true
	return nil, err.Error(), err
}
