package fleetrouter

import (
	"cmp"
	"slices"
	"time"

	"radishspoke"
)

// Candidate is a target of a group as it is considered for a request.
type Candidate struct {
	ID, Zone string
	Role     radishspoke.Role `json:",omitempty"`
	Wait     time.Duration    // expected time in the queue of the engine
	Prefill  time.Duration    // expected time of the prefill there
	Transfer time.Duration    // expected time of the transfer of the KV cache
	Cost     time.Duration    // by which targets of one role are compared
	Chosen   bool
	Reason   string // why it is not chosen
}

// Question is a request that Explain answers for. Nothing of it is sent.
type Question struct {
	Group      radishspoke.Group
	Generation *radishspoke.GenerationInfo // nil for plain services
	Separate   bool                        // the prompt is prefilled by another engine than the answer
	Left       time.Duration               // time within which the prompt has to be read
}

// Explain returns all targets of a group, as they are considered for a request, those that
// would be chosen first. It changes nothing.
func (r *Router) Explain(q Question, queueDelay QueueDelay, sel Selection) []Candidate {
	sel.query = true
	list := map[string]*Candidate{}
	var from radishspoke.Instance
	if q.Separate {
		from = r.explainPrefill(q, queueDelay, sel, list)
	}
	var typical time.Duration
	if q.Generation != nil {
		typical = r.timings.Timing(q.Group.Name).Transfer
	}
	sel.observe = func(t *target, cost time.Duration) {
		c := Candidate{ID: t.ID, Zone: t.Zone, Role: t.Role, Cost: cost}
		if q.Separate && from.Role == radishspoke.PrefillRole {
			c.Transfer = t.transfer(typical)
		}
		list[t.ID] = &c
	}
	var chosen radishspoke.Instance
	var err error
	switch {
	case q.Generation == nil:
		chosen, err = r.PickPlain(q.Group.Name, sel)
	case from.Role == radishspoke.PrefillRole:
		chosen, err = r.PickDecode(q.Group.Name, from.Zone, sel)
	case q.Separate && from.ID != "": // a decode engine reads the prompt and answers
	default:
		chosen, err = r.PickShort(q.Group.Name, sel)
	}
	if c := list[chosen.ID]; c != nil && err == nil {
		c.Chosen = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Candidate, 0, len(r.groups[q.Group.Name]))
	for _, t := range r.groups[q.Group.Name] {
		c := list[t.ID]
		if c == nil {
			c = &Candidate{ID: t.ID, Zone: t.Zone, Role: t.Role, Reason: r.unusable(t, sel)}
		}
		out = append(out, *c)
	}
	explainCosts(out)
	return out
}

// explainPrefill adds the engines that are considered for the prefill, and returns the one that
// would be chosen.
func (r *Router) explainPrefill(q Question, queueDelay QueueDelay, sel Selection, list map[string]*Candidate) radishspoke.Instance {
	ttl, timing := r.cacheTTL(q.Group), r.timings.Timing(q.Group.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.choosePrefill(q.Group, q.Generation, queueDelay, q.Left, sel, ttl, timing)
	if c.best == nil {
		return radishspoke.Instance{}
	}
	factor := 1.0
	if c.best.Role == radishspoke.DecodeRole {
		factor = decodePrefillFactor
	}
	for _, t := range r.usable(q.Group.Name, c.best.Role, sel) {
		one := c
		one.best = nil
		one.consider(t, queueDelay(t.ID), factor)
		list[t.ID] = &Candidate{ID: t.ID, Zone: t.Zone, Role: t.Role, Wait: one.out.Wait, Prefill: one.out.Prefill, Cost: one.least, Chosen: t == c.best}
		if !one.inTime {
			list[t.ID].Reason = "the prompt is not expected to be read in time"
		}
	}
	return c.best.Instance
}

// unusable returns why a target is not considered. The Router must be locked.
func (r *Router) unusable(t *target, sel Selection) string {
	now := r.clock.Now()
	switch {
	case r.avoided.Avoids(t.ID):
		return "takes no requests"
	case !sel.allows(t):
		return "is not allowed for the request"
	case !r.limits.Admits(t.ID):
		return "is at its limit"
	case now < t.ejectedUntil:
		return "is ejected for " + (t.ejectedUntil - now).Round(time.Millisecond).String()
	case now < t.noPrefillUntil:
		return "has lost KV caches"
	case t.failures > 0:
		return "has failed and is probed by another request"
	}
	return "has another role"
}

// explainCosts sorts candidates by role and cost and gives a reason for those that cost more.
func explainCosts(list []Candidate) {
	rank := func(c Candidate) int {
		switch {
		case c.Chosen:
			return 0
		case c.Cost > 0 || c.Reason == "":
			return 1
		}
		return 2
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	least := map[radishspoke.Role]time.Duration{}
	for i, c := range list {
		if c.Chosen {
			least[c.Role] = c.Cost
			list[i].Reason = ""
			continue
		}
		if best, ok := least[c.Role]; ok && c.Reason == "" {
			list[i].Reason = "costs " + (c.Cost - best).Round(time.Microsecond).String() + " more"
		}
	}
}
