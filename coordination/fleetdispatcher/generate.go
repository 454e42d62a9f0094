package fleetdispatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
)

const (
	// minSeparateTokens is the minimum number of prompt tokens not shared with
	// other prompts for which a separate prefill engine is worthwhile: about the
	// cost of one KV cache transfer.
	minSeparateTokens = 512

	// firstEventDelay is the expected time from the end of the prefill to the
	// first event.
	firstEventDelay = 8 * time.Millisecond
)

// prefillPlan tells where the prompt of a request is prefilled. The zero value
// leaves the prefill to any decode engine.
type prefillPlan struct {
	relay         *radishspoke.Instance // prefill engine whose sidecar relays the request; nil if none does
	expectedDelay time.Duration         // expected time until that engine has prefilled the prompt
	handle        *radishspoke.Handle   // of the KV cache, if another engine has prefilled the prompt
	prefillID     string                // id of the prefill engine; empty if the decoder prefills the prompt
	zone          string                // availability zone of the prefill engine
	decoder       *radishspoke.Instance // engine that generates; nil if it is still to be chosen
	done          func(time.Duration)   // ends the turn at the decoder; nil if it has none
}

// expectedDelay returns how long a new prompt is expected to wait at an engine
// and to be prefilled there.
func (f *Dispatcher) expectedDelay(engine string) time.Duration {
	if d, ok := f.RelayClient.ExpectedDelay(engine); ok {
		return d
	}
	return f.PromptQueue.ExpectedDelay(engine)
}

// end ends the turn at the decoder, if there is one.
func (p prefillPlan) end(took time.Duration) {
	if p.done != nil {
		p.done(took)
	}
}

// serveGeneration sends a request to the engines of a model until one has
// generated the answer or no further attempt is allowed.
func (f *Dispatcher) serveGeneration(ctx context.Context, j *job, s *answerWriter) *radishspoke.Failure {
	lastReason := "no engine was tried"
	for {
		p, fail := f.planPrefill(ctx, j)
		if fail != nil {
			return fail
		}
		if p.decoder == nil {
			t, err := f.pickDecode(j, p)
			if err != nil {
				relayer.ReleaseHandle(f.Targets, p.handle, f.Log)
				return f.failure(j, "engine", lastReason+": "+err.Error())
			}
			p.decoder = &t
		}
		if fail := f.checkKey(j); fail != nil {
			relayer.ReleaseHandle(f.Targets, p.handle, f.Log)
			p.end(0)
			return fail
		}
		next, reason := f.attemptStream(ctx, j, s, p)
		if next == settled {
			switch {
			case reason == "":
				return nil
			case j.unreachable:
				return f.failure(j, "queue", "the prompt cannot be prefilled before the deadline")
			}
			return f.failure(j, "engine", reason)
		}
		lastReason = reason
	}
}

// pickDecode chooses the engine that generates the answer.
func (f *Dispatcher) pickDecode(j *job, p prefillPlan) (radishspoke.Instance, error) {
	if p.prefillID == "" {
		return f.Router.PickShort(j.group.Name, j.excluded)
	}
	return f.Router.PickDecode(j.group.Name, p.zone, j.excluded)
}

// planPrefill chooses the engine that prefills the prompt. If that is a prefill
// engine that is called directly, planPrefill waits for its turn and has the
// prompt prefilled; if it is a decode engine, planPrefill only waits for its
// turn.
func (f *Dispatcher) planPrefill(ctx context.Context, j *job) (prefillPlan, *radishspoke.Failure) {
	own := j.incoming.Generation.Prompt
	if p := j.incoming.Generation.Parts; len(p) > 0 {
		own = p[len(p)-1].Tokens
	}
	if own < minSeparateTokens {
		return prefillPlan{}, nil
	}
	if f.Router.DecodeSaturated(j.group.Name) {
		return prefillPlan{}, f.failure(j, "engine", "no decode engine is available at present")
	}
	for {
		t, expected, err := f.Router.PickPrefill(j.group.Name, j.incoming.Generation, f.expectedDelay, j.excluded)
		if err != nil {
			return prefillPlan{}, f.failure(j, "engine", err.Error())
		}
		if t.Role == radishspoke.PrefillRole && !j.noRelay && f.RelayClient.Worthwhile(t.ID, len(j.body)) {
			return prefillPlan{relay: &t, expectedDelay: expected, prefillID: t.ID, zone: t.Zone}, nil
		}
		asked := f.Clock.Now()
		done, err := f.PromptQueue.Wait(ctx, t.ID, sequencer.Ticket{Rank: j.team.Rank, OnTime: j.onTime, Deadline: j.deadline, AfterTurn: firstEventDelay})
		j.queueTime += f.Clock.Now() - asked
		if err != nil {
			return prefillPlan{}, f.failure(j, "queue", "the prompt cannot be prefilled before the deadline")
		}
		if t.Role != radishspoke.PrefillRole {
			return prefillPlan{decoder: &t, done: done}, nil
		}
		start := f.Clock.Now()
		h, reason, err := f.prefill(ctx, j, t, expected)
		j.prefill += f.Clock.Now() - start
		if err == nil {
			done(f.Clock.Now() - start)
			return prefillPlan{handle: h, prefillID: t.ID, zone: t.Zone}, nil
		}
		done(0)
		if f.decide(ctx, j, false, false) == settled {
			return prefillPlan{}, f.failure(j, "engine", reason)
		}
	}
}

// prefill has the engine t prefill the prompt. On failure it also returns the
// reason, and t is excluded from further attempts.
func (f *Dispatcher) prefill(ctx context.Context, j *job, t radishspoke.Instance, expected time.Duration) (*radishspoke.Handle, string, error) {
	j.visit(t)
	delete(j.excluded, t.ID) // a prefill does not run the request
	f.Router.Begin(t.ID)
	r := j.request()
	c := r.Call(platform.TargetHeader{Instance: t.ID, Remaining: j.deadline - f.Clock.Now(), PrefillOnly: true})
	h, a, err := relayer.Read(ctx, f.Targets, t.Address, c, expected)
	switch {
	case err == nil:
		f.Router.End(t.ID, fleetrouter.Report{Waiting: a.Waiting, Slots: a.Slots})
		return h, "", nil
	case errors.Is(err, relayer.ErrNotRead):
		f.Router.End(t.ID, fleetrouter.Report{Failed: !a.NotRun, NotReady: a.NotRun, Waiting: a.Waiting, Slots: a.Slots})
	default:
		f.Router.End(t.ID, newReport(ctx, nil, err))
		f.Targets.CloseIdle(t.Address)
	}
	j.excluded[t.ID] = true
	return nil, err.Error(), err
}
