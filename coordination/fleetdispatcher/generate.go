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
	// minSeparateTokens is the number of prompt tokens from which on a prompt is
	// prefilled by a separate engine. Tokens that it shares with other prompts do
	// not count. Prefilling that many tokens takes about as long as one KV cache
	// transfer.
	minSeparateTokens = 512

	// firstEventDelay is the expected time from the end of the prefill to the
	// first event.
	firstEventDelay = 8 * time.Millisecond
)

// prefillPlan tells where the prompt of a request is prefilled. With the zero
// value, the decode engine prefills it. Turns are those of package sequencer.
type prefillPlan struct {
	relay         *radishspoke.Instance // prefill engine whose sidecar relays the request; nil if it is not relayed
	expectedDelay time.Duration         // expected time until that engine has prefilled the prompt
	handle        *radishspoke.Handle   // of the KV cache, if another engine has prefilled the prompt
	prefillID     string                // id of the prefill engine; empty if the decode engine prefills the prompt
	zone          string                // availability zone of the prefill engine
	decoder       *radishspoke.Instance // decode engine; nil if not chosen yet
	endTurn       func(time.Duration)   // ends the turn at the decode engine; nil if there is none
}

// expectedDelay returns how long a new prompt is expected to wait at an engine
// and to be prefilled there.
func (d *Dispatcher) expectedDelay(engine string) time.Duration {
	if delay, ok := d.RelayClient.ExpectedDelay(engine); ok {
		return delay
	}
	return d.PromptQueue.ExpectedDelay(engine)
}

// end ends the turn at the decode engine, if there is one.
func (p prefillPlan) end(took time.Duration) {
	if p.endTurn != nil {
		p.endTurn(took)
	}
}

// serveGeneration sends a request to the engines of a model until one has
// generated the answer or no further attempt is allowed.
func (d *Dispatcher) serveGeneration(ctx context.Context, j *job, aw *answerWriter) *radishspoke.Failure {
	lastReason := "no engine"
	for {
		p, fail := d.planPrefill(ctx, j)
		if fail != nil {
			return fail
		}
		if p.decoder == nil {
			t, err := d.pickDecode(j, p)
			if err != nil {
				relayer.ReleaseHandle(d.Targets, p.handle, d.Log)
				return d.failure(j, "engine", lastReason+": "+err.Error())
			}
			p.decoder = &t
		}
		if fail := d.checkKey(j); fail != nil {
			relayer.ReleaseHandle(d.Targets, p.handle, d.Log)
			p.end(0)
			return fail
		}
		next, reason := d.attemptStream(ctx, j, aw, p)
		if next == finished {
			switch {
			case reason == "":
				return nil
			case j.unreachable:
				return d.failure(j, "queue", "the prompt can't be read before the deadline")
			}
			return d.failure(j, "engine", reason)
		}
		lastReason = reason
	}
}

// pickDecode chooses the engine that generates the answer.
func (d *Dispatcher) pickDecode(j *job, p prefillPlan) (radishspoke.Instance, error) {
	if p.prefillID == "" {
		return d.Router.PickShort(j.group.Name, j.excluded)
	}
	return d.Router.PickDecode(j.group.Name, p.zone, j.excluded)
}

// planPrefill chooses the engine that prefills the prompt. If the request is to be
// relayed by the sidecar of that engine, planPrefill returns without waiting.
// Otherwise it waits for a turn at the engine and, if that is a prefill engine, has
// the prompt prefilled there. A short prompt needs no turn.
func (d *Dispatcher) planPrefill(ctx context.Context, j *job) (prefillPlan, *radishspoke.Failure) {
	own := j.incoming.Generation.Prompt
	if p := j.incoming.Generation.Parts; len(p) > 0 {
		own = p[len(p)-1].Tokens
	}
	if own < minSeparateTokens {
		return prefillPlan{}, nil
	}
	if d.Router.DecodeSaturated(j.group.Name) {
		return prefillPlan{}, d.failure(j, "engine", "no engine takes another answer now")
	}
	for {
		t, expected, err := d.Router.PickPrefill(j.group.Name, j.incoming.Generation, d.expectedDelay, j.excluded)
		if err != nil {
			return prefillPlan{}, d.failure(j, "engine", err.Error())
		}
		if t.Role == radishspoke.PrefillRole && !j.noRelay && d.RelayClient.Worthwhile(t.ID, len(j.body)) {
			return prefillPlan{relay: &t, expectedDelay: expected, prefillID: t.ID, zone: t.Zone}, nil
		}
		asked := d.Clock.Now()
		endTurn, err := d.PromptQueue.Wait(ctx, t.ID, sequencer.Ticket{Rank: j.team.Rank, OnTime: j.onTime, Deadline: j.deadline, AfterTurn: firstEventDelay})
		j.queueTime += d.Clock.Now() - asked
		if err != nil {
			return prefillPlan{}, d.failure(j, "queue", "the prompt can't be read before the deadline")
		}
		if t.Role != radishspoke.PrefillRole {
			return prefillPlan{decoder: &t, endTurn: endTurn}, nil
		}
		start := d.Clock.Now()
		h, reason, err := d.prefill(ctx, j, t, expected)
		j.prefill += d.Clock.Now() - start
		if err == nil {
			endTurn(d.Clock.Now() - start)
			return prefillPlan{handle: h, prefillID: t.ID, zone: t.Zone}, nil
		}
		endTurn(0)
		if d.decide(ctx, j, false, false) == finished {
			return prefillPlan{}, d.failure(j, "engine", reason)
		}
	}
}

// prefill has the engine t prefill the prompt. On failure it also returns the
// reason, and t is excluded from further attempts.
func (d *Dispatcher) prefill(ctx context.Context, j *job, t radishspoke.Instance, expected time.Duration) (*radishspoke.Handle, string, error) {
	j.visit(t)
	delete(j.excluded, t.ID) // a prefill does not run the request
	d.Router.Begin(t.ID)
	r := j.request()
	c := r.Call(platform.TargetHeader{Instance: t.ID, Remaining: j.deadline - d.Clock.Now(), PrefillOnly: true})
	h, a, err := relayer.Prefill(ctx, d.Targets, t.Address, c, expected)
	switch {
	case err == nil:
		d.Router.End(t.ID, fleetrouter.Report{Waiting: a.Waiting, Slots: a.Slots})
		return h, "", nil
	case errors.Is(err, relayer.ErrNotPrefilled):
		d.Router.End(t.ID, fleetrouter.Report{Failed: !a.NotRun, NotReady: a.NotRun, Waiting: a.Waiting, Slots: a.Slots})
	default:
		d.Router.End(t.ID, newReport(ctx, nil, err))
		d.Targets.CloseIdle(t.Address)
	}
	j.excluded[t.ID] = true
	return nil, err.Error(), err
}
