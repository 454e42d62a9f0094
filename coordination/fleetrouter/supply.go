package fleetrouter

import (
	"math"
	"time"

	"radishspoke"
	"radishspoke/coordination/admitter"
)

// Supply returns what the targets of a group offer that can be used now. Of the slots of
// engines, as many as their square root are kept for chance. For plain services, the slots in use are those of the requests in flight; for engines, they are not set.
func (r *Router) Supply(group string, queueDelay QueueDelay) admitter.Supply {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out admitter.Supply
	var wait time.Duration
	targets := 0.0
	unknown, engines := false, false
	for _, t := range r.groups[group] {
		if t.Role == "" {
			out.InUse += float64(t.inFlight)
		}
		ejected := now < t.ejectedUntil
		refusing := ejected && t.refusals >= refusalLimit && t.failures == 0 && t.Role == radishspoke.DecodeRole
		if t.Instance.Leaving || r.avoided.Avoids(t.ID) || ejected && !refusing {
			continue
		}
		if t.Role == radishspoke.PrefillRole {
			d := queueDelay(t.ID)
			if out.Prefill == 0 || d < out.Least {
				out.Least = d
			}
			wait += d
			out.Prefill++
			continue
		}
		slots := t.Slots
		if slots == 0 {
			slots = t.slots
		}
		unknown = unknown || slots == 0
		out.Slots += float64(slots)
		engines = engines || t.Role != ""
		if refusing {
			out.Refusing += float64(slots)
		}
		targets++
		if t.Role != "" { // the requests that wait at a plain target are in flight
			out.Waiting += float64(t.waiting)
		}
	}
	if out.Prefill > 0 {
		out.Wait = wait / time.Duration(out.Prefill)
	}
	if unknown {
		out.Slots = 0
	}
	if targets > 0 {
		out.PerOne = out.Slots / targets
	}
	if engines {
		// Engines refuse what they have no slot for. Requests at plain targets wait.
		out.Slots -= math.Sqrt(out.Slots)
	}
	return out
}

// OwnTokens returns the number of tokens of a prompt that it does not share with others.
func OwnTokens(g *radishspoke.GenerationInfo) int {
	_, own := splitPrompt(g)
	return own
}
