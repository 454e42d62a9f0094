package voter

import (
	"context"
	"time"

	"radishspoke/protocol/wire"
)

// Step first yields one right if this process holds more than its share. It then
// renews the rights that this process holds, and requests the other rights whose
// requestTime has passed.
func (v *Voter) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, v.settings.Lease/renewals)
	defer cancel()
	if t := v.yieldSurplus(); t != nil {
		v.requestVotes(ctx, v.Set(), []*wire.Tenure{t}, true)
	}
	set, tenures := v.tenuresToRequest()
	if len(tenures) == 0 {
		return
	}
	sent := v.clock.Now()
	granted := v.requestVotes(ctx, set, tenures, false)
	failed := v.countVotes(set, sent, tenures, granted)
	if len(failed) > 0 {
		v.requestVotes(ctx, set, failed, true)
	}
}

// tenuresToRequest returns the tenures that this process holds, and new tenures
// of the rights that it may request now.
func (v *Voter) tenuresToRequest() (Set, []*wire.Tenure) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving || !v.set.Has(v.settings.Name) {
		return v.set, nil
	}
	now := v.clock.Now()
	var out []*wire.Tenure
	for _, n := range v.settings.Rights {
		if id, ok := v.holds(n); ok {
			out = append(out, &wire.Tenure{Right: n, Id: id})
			continue
		}
		if now >= v.requestTime(n) {
			out = append(out, &wire.Tenure{Right: n, Id: v.random.Int64()})
		}
	}
	return v.set, out
}

// requestTime returns the time from which this process may request a right. It is
// the expiry of this voter's own grant of the right, or the end of abstainUntil,
// requestAfter or yieldedUntil if that is later, plus Settings.Stagger for each
// member that ranks better.
func (v *Voter) requestTime(right string) time.Duration {
	at := max(v.abstainUntil, v.requestAfter, v.yieldedUntil[right])
	if g, ok := v.grants[right]; ok && g.until > at {
		at = g.until
	}
	for i, m := range v.rank(right, v.set.Members) {
		if m == v.settings.Name {
			at += time.Duration(i) * v.settings.Stagger
		}
	}
	return at
}

// requestVotes sends one request to every member, and returns the number of
// members that granted each tenure, in the order of tenures. It waits for all
// replies; the requests end with ctx.
func (v *Voter) requestVotes(ctx context.Context, set Set, tenures []*wire.Tenure, release bool) []int {
	q := &wire.Vote{Process: v.settings.Name, SetVersion: set.Version, Tenures: tenures, Release: release}
	replies := make(chan *wire.VoteReply, len(set.Members))
	for _, m := range set.Members {
		if m == v.settings.Name {
			replies <- v.Handle(q)
			continue
		}
		go func() {
			r, err := v.request(ctx, m, q)
			if err != nil {
				r = nil
			} else {
				v.recordReply(m)
			}
			replies <- r
		}()
	}
	granted := make([]int, len(tenures))
	for range set.Members {
		r := <-replies
		if r == nil || len(r.Granted) != len(tenures) {
			continue
		}
		for i, ok := range r.Granted {
			if ok {
				granted[i]++
			}
		}
	}
	return granted
}

// countVotes starts or extends the tenures that a majority granted. It returns
// the new ones without a majority and those that expired during the vote, whose
// grants are to be released.
func (v *Voter) countVotes(set Set, sent time.Duration, tenures []*wire.Tenure, granted []int) []*wire.Tenure {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var failed []*wire.Tenure
	for i, t := range tenures {
		h, renewal := v.held[t.Right]
		renewal = renewal && h.id == t.Id
		if renewal && now >= h.until {
			// The tenure expired before all votes arrived.
			delete(v.held, t.Right)
			failed = append(failed, t)
			continue
		}
		if granted[i] < set.Majority() {
			if !renewal {
				failed = append(failed, t)
			}
			continue
		}
		since := now
		if renewal {
			since = h.since
		} else {
			v.log.Info("right acquired", "right", t.Right, "tenure", t.Id)
		}
		v.held[t.Right] = &tenure{id: t.Id, since: since, until: sent + v.settings.Lease - v.settings.Margin}
	}
	return failed
}

// Leave releases every right. This process requests no more rights afterwards.
func (v *Voter) Leave(ctx context.Context) {
	v.mu.Lock()
	v.leaving = true
	set := v.set
	var tenures []*wire.Tenure
	for n, t := range v.held {
		tenures = append(tenures, &wire.Tenure{Right: n, Id: t.id})
	}
	v.held = map[string]*tenure{}
	v.mu.Unlock()
	if len(tenures) > 0 {
		v.requestVotes(ctx, set, tenures, true)
	}
}

// recordReply records that a member has just replied.
func (v *Voter) recordReply(member string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastReply[member] = v.clock.Now()
}

// yieldSurplus gives up one right if this process holds more than an equal share
// of the rights, rounded up, and the member that ranks first for that right is
// another process that has replied within the last lease. A process that has
// joined the set yields nothing until one lease after requestAfter. yieldSurplus
// returns the tenure to release, or nil.
func (v *Voter) yieldSurplus() *wire.Tenure {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var held []string
	for _, n := range v.settings.Rights {
		if _, ok := v.holds(n); ok {
			held = append(held, n)
		}
	}
	if len(v.set.Members) == 0 || len(held) <= (len(v.settings.Rights)+len(v.set.Members)-1)/len(v.set.Members) {
		return nil
	}
	for _, n := range held {
		first := v.rank(n, v.set.Members)[0]
		replied, ok := v.lastReply[first]
		if first == v.settings.Name || !ok || now-replied > v.settings.Lease || now < v.requestAfter+v.settings.Lease {
			continue
		}
		t := &wire.Tenure{Right: n, Id: v.held[n].id}
		delete(v.held, n)
		v.yieldedUntil[n] = now + v.settings.Lease
		v.log.Info("right yielded", "right", n, "to", first)
		return t
	}
	return nil
}
