package router

import (
	"time"

	"radishspoke"
)

// Choice is a target with the times that an answer is expected to take there.
type Choice struct {
	Target radishspoke.Target

	// FirstToken is the time to the first token, Expected the time to the
	// end of an answer of the pool's mean length, and Total the time to the
	// end of the longest answer that the request allows.
	FirstToken time.Duration
	Expected   time.Duration
	Total      time.Duration
}

// lengthSmoothing is the weight of the newest answer in the exponential moving
// average of answer lengths.
const lengthSmoothing = 0.02

// RecordLength updates the pool's mean answer length with the length of a
// complete answer, in tokens.
func (r *Router) RecordLength(w Work, output int) {
	if w.OutputTokens <= 0 {
		return
	}
	ratio := float64(output) / float64(w.OutputTokens)
	if mean, ok := r.lengthRatios[w.Pool]; ok {
		ratio = mean + lengthSmoothing*(ratio-mean)
	}
	r.lengthRatios[w.Pool] = ratio
}

// slotsOf returns the number of requests that a target runs at once.
func slotsOf(t *target) int {
	if t.Kind == radishspoke.EngineTarget {
		return t.Slots
	}
	return serviceSlots
}

// running returns the number of requests at a target: the current ones of this
// process, and those of other processes as of the last report.
func running(t *target) int { return t.outstanding + t.others }

// hasRoom reports whether a target can take another request within its slots
// and the allowed overflow.
func (r *Router) hasRoom(t *target) bool {
	slots := slotsOf(t)
	return running(t) < slots+max(1, int(float64(slots)*r.settings.OverflowRatio))
}

// estimate returns the times that w is expected to take at t.
func (r *Router) estimate(t *target, w Work) Choice {
	s := r.settings
	network := time.Duration(0)
	if t.Zone != s.Zone {
		network = s.ZoneLatency
	}
	if t.Kind == radishspoke.ServiceTarget {
		d := network + time.Duration(running(t))*s.StepCost
		return Choice{Target: t.Target, FirstToken: d, Expected: d, Total: d}
	}
	n, slots := running(t), slotsOf(t)
	step := s.StepBase + time.Duration(min(n+1, slots))*s.StepCost
	cached := r.prefixes.match(t.Name, w.Prefix) * blockTokens
	prefill := t.pendingPrefill + t.othersPrefill + max(0, w.PromptTokens-cached)
	first := network + time.Duration(prefill)*s.PrefillCost + step
	if excess := n + 1 - slots; excess > 0 {
		first += time.Duration(excess) * time.Duration(w.OutputTokens) * step / time.Duration(slots)
	}
	length := r.lengthRatios[w.Pool] * float64(w.OutputTokens)
	return Choice{
		Target: t.Target, FirstToken: first,
		Expected: first + time.Duration(length)*step, Total: first + time.Duration(w.OutputTokens)*step,
	}
}
