package router

import (
	"time"

	"radishspoke"
)

// Choice is a target with the times that an answer is expected to take there:
// to its first token, to its end if it is as long as those before it, and to
// its end if it is as long as it may be.
type Choice struct {
	Target     radishspoke.Target
	FirstToken time.Duration
	Expected   time.Duration
	Total      time.Duration
}

// lengthMemory is the part that one answer has in the mean length.
const lengthMemory = 0.02

// Learn notes the length of a whole answer.
func (r *Router) Learn(w Work, output int) {
	if w.OutputTokens <= 0 {
		return
	}
	part := float64(output) / float64(w.OutputTokens)
	if mean, ok := r.lengths[w.Pool]; ok {
		part = mean + lengthMemory*(part-mean)
	}
	r.lengths[w.Pool] = part
}

func slotsOf(t *target) int {
	if t.Kind == radishspoke.EngineTarget {
		return t.Slots
	}
	return serviceSlots
}

// running is the target's number of requests: this process's own, which it
// knows, and the others' as of the last report.
func running(t *target) int { return t.outstanding + t.others }

// room tells whether a target takes another request without a long queue.
func (r *Router) room(t *target) bool {
	slots := slotsOf(t)
	return running(t) < slots+max(1, int(float64(slots)*r.settings.Overflow))
}

// estimate returns the time that w is expected to take at t.
func (r *Router) estimate(t *target, w Work) Choice {
	s := r.settings
	way := time.Duration(0)
	if t.Zone != s.Zone {
		way = s.ZoneDistance
	}
	if t.Kind == radishspoke.ServiceTarget {
		d := way + time.Duration(running(t))*s.StepCost
		return Choice{Target: t.Target, FirstToken: d, Expected: d, Total: d}
	}
	n, slots := running(t), slotsOf(t)
	step := s.StepBase + time.Duration(min(n+1, slots))*s.StepCost
	cached := r.prefixes.match(t.Name, w.Prefix) * blockTokens
	toRead := t.unread + t.othersUnread + max(0, w.PromptTokens-cached)
	first := way + time.Duration(toRead)*s.PrefillCost + step
	if over := n + 1 - slots; over > 0 {
		first += time.Duration(over) * time.Duration(w.OutputTokens) * step / time.Duration(slots)
	}
	length := r.lengths[w.Pool] * float64(w.OutputTokens)
	return Choice{
		Target: t.Target, FirstToken: first,
		Expected: first + time.Duration(length)*step, Total: first + time.Duration(w.OutputTokens)*step,
	}
}
