package fleetrouter

import (
	"time"

	"radishspoke"
)

// PickDecode returns the engine that generates an answer after another engine,
// in the availability zone from, has prefilled the prompt. The error is ErrNoTarget.
func (r *Router) PickDecode(group, from string, sel Selection) (radishspoke.Instance, error) {
	timing := r.timings.Timing(group)
	transfer := timing.Transfer
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.usable(group, radishspoke.DecodeRole, sel)
	if sel.Hold {
		list = r.unlimited(list)
	}
	crossing := func(t *target) time.Duration {
		if t.Zone != from {
			return r.settings.CrossZoneCost
		}
		return 0
	}
	if r.byLoad(list, sel) {
		return r.leastTime(list, sel, transfer+timing.FirstEvent, crossing)
	}
	return r.leastCost(list, sel, func(t *target) time.Duration {
		return t.waitingCost(transfer) + time.Duration(t.inFlight+1)*t.transfer(transfer) + crossing(t)
	}, transfer)
}

// noTime is the additional time of targets that differ in nothing but their load.
func noTime(*target) time.Duration { return 0 }

// PickShort returns the engine that prefills a short prompt and generates the
// answer. Targets in exclude are not considered. The error is ErrNoTarget.
func (r *Router) PickShort(group string, sel Selection) (radishspoke.Instance, error) {
	timing := r.timings.Timing(group)
	transfer := timing.Transfer
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.usable(group, radishspoke.DecodeRole, sel)
	if r.byLoad(list, sel) {
		return r.leastTime(list, sel, transfer+timing.FirstEvent, noTime)
	}
	return r.leastCost(list, sel, func(t *target) time.Duration {
		return t.waitingCost(transfer) + time.Duration(t.inFlight)*transfer
	}, transfer)
}

// waitingWeight is the cost of a request that waits for a slot of an engine, in
// transfers of a KV cache. Requests wait where slots, memory or the link are short,
// and their number is known only from the last answer of the engine.
const waitingWeight = 10

// waitingCost returns the cost that the requests waiting for a slot of an engine
// add to a further request.
func (t *target) waitingCost(transfer time.Duration) time.Duration {
	return time.Duration(t.waiting) * waitingWeight * transfer
}

// transfer returns the mean time of a KV cache transfer to the target, or typical
// if none was measured.
func (t *target) transfer(typical time.Duration) time.Duration {
	if t.meanTransfer == 0 {
		return typical
	}
	return t.meanTransfer
}

// plainRequestCost is the cost of each request that waits at a target of a plain
// service, and of each one in flight beyond half of the slots of the target.
const plainRequestCost = 30 * time.Millisecond

// PickPlain returns the target of a plain service that has the least cost. The error is
// ErrNoTarget.
func (r *Router) PickPlain(group string, sel Selection) (radishspoke.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.usable(group, "", sel)
	if r.byLoad(list, sel) {
		return r.leastTime(list, sel, r.plainTime(group), noTime)
	}
	return r.leastCost(list, sel, func(t *target) time.Duration {
		return time.Duration(max(0, t.inFlight+1-t.slots/2)+t.waiting) * plainRequestCost
	}, plainRequestCost)
}

// leastCost returns the target with the least cost, or ErrNoTarget if the list is
// empty. A random duration of up to jitter is added to each cost so that processes
// do not all choose the same target.
func (r *Router) leastCost(list []*target, sel Selection, cost func(*target) time.Duration, jitter time.Duration) (radishspoke.Instance, error) {
	var best *target
	var leastCost time.Duration
	for _, t := range list {
		c := cost(t) + r.penalty(t)
		if sel.observe != nil {
			sel.observe(t, c)
		}
		if !sel.query {
			c += time.Duration(r.random.Int64N(int64(jitter) + 1))
		}
		if best == nil || c < leastCost {
			best, leastCost = t, c
		}
	}
	if best == nil {
		return radishspoke.Instance{}, ErrNoTarget
	}
	if sel.query {
		return best.Instance, nil
	}
	r.limits.Take(best.ID)
	if sel.Free {
		best.reserved++
	}
	return best.Instance, nil
}

// usable returns the targets of a group and role that sel allows and that are not avoided nor
// at their limit nor ejected nor paused after lost KV caches. If there are none, it returns
// the target whose ejection or pause ends first, unless none is allowed, all are avoided or at
// their limit, or sel asks for a free one. Targets in their slow start, and cold ones of which
// this process is not sure of its share, are used if there is no other.
func (r *Router) usable(group string, role radishspoke.Role, sel Selection) []*target {
	now := r.clock.Now()
	var out, fallback []*target
	var first *target
	for _, t := range r.groups[group] {
		if t.Role != role || !sel.allows(t) || r.avoids(t) {
			continue
		}
		if !sel.query {
			r.limits.Ask(t.ID)
		}
		if !r.limits.Admits(t.ID) {
			if r.limits.Fallback(t.ID) {
				fallback = append(fallback, t)
			}
			continue
		}
		if !sel.query && !r.warm(t) {
			fallback = append(fallback, t)
			continue
		}
		// After an ejection, one request at a time probes the target until one
		// succeeds.
		if now >= max(t.ejectedUntil, t.noPrefillUntil) && (t.failures == 0 || t.inFlight == 0) {
			out = append(out, t)
		} else if first == nil || max(t.ejectedUntil, t.noPrefillUntil) < max(first.ejectedUntil, first.noPrefillUntil) {
			first = t
		}
	}
	if len(out) == 0 && first != nil && !sel.Free {
		out = append(out, first)
	}
	if len(out) == 0 {
		out = fallback
	}
	if sel.Software == "" && role == radishspoke.DecodeRole {
		return withOthersOfVersion(out)
	}
	return out
}

// penalty returns the cost of a target for its failures and its zone.
func (r *Router) penalty(t *target) time.Duration {
	d := time.Duration(t.failureShare * float64(failureCost))
	if t.Zone != r.settings.Zone {
		d += r.settings.CrossZoneCost
	}
	return d
}
