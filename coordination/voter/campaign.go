package voter

import (
	"context"
	"time"

	"radishspoke/protocol/wire"
)

// Step renews the rights that are held and asks for those that seem free.
func (v *Voter) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, v.settings.Lease/renewals)
	defer cancel()
	if t := v.surplus(); t != nil {
		v.collect(ctx, v.Set(), []*wire.Tenure{t}, true)
	}
	set, asked := v.plan()
	if len(asked) == 0 {
		return
	}
	sent := v.clock.Now()
	granted := v.collect(ctx, set, asked, false)
	lost := v.count(set, sent, asked, granted)
	if len(lost) > 0 {
		v.collect(ctx, set, lost, true)
	}
}

// plan returns the tenures to ask for: those held, and new ones of rights
// that no grant of this voter stands for any more.
func (v *Voter) plan() (Set, []*wire.Tenure) {
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
		if now >= v.turn(n) {
			out = append(out, &wire.Tenure{Right: n, Id: v.random.Int64()})
		}
	}
	return v.set, out
}

// turn returns when this process may ask for a right: once its own grant has
// lapsed, and later the lower it ranks.
func (v *Voter) turn(right string) time.Duration {
	at := max(v.abstain, v.quiet, v.yielded[right])
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

// collect puts one question to every member, and returns how many granted
// each tenure. It waits for all of them, or until ctx ends.
func (v *Voter) collect(ctx context.Context, set Set, asked []*wire.Tenure, release bool) []int {
	q := &wire.Vote{Process: v.settings.Name, SetVersion: set.Version, Tenures: asked, Release: release}
	replies := make(chan *wire.VoteReply, len(set.Members))
	for _, m := range set.Members {
		if m == v.settings.Name {
			replies <- v.Handle(q)
			continue
		}
		go func() {
			r, err := v.ask(ctx, m, q)
			if err != nil {
				r = nil
			} else {
				v.hear(m)
			}
			replies <- r
		}()
	}
	granted := make([]int, len(asked))
	for range set.Members {
		r := <-replies
		if r == nil || len(r.Granted) != len(asked) {
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

// count extends the tenures that a majority granted. It returns new ones that
// failed, whose grants are to be given back.
func (v *Voter) count(set Set, sent time.Duration, asked []*wire.Tenure, granted []int) []*wire.Tenure {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var lost []*wire.Tenure
	for i, t := range asked {
		h, old := v.held[t.Right]
		old = old && h.id == t.Id
		if old && now >= h.until {
			// It lapsed while the votes came in.
			delete(v.held, t.Right)
			lost = append(lost, t)
			continue
		}
		if granted[i] < set.Majority() {
			if !old {
				lost = append(lost, t)
			}
			continue
		}
		since := now
		if old {
			since = h.since
		} else {
			v.log.Info("right taken", "right", t.Right, "tenure", t.Id)
		}
		v.held[t.Right] = &tenure{id: t.Id, since: since, until: sent + v.settings.Lease - v.settings.Margin}
	}
	return lost
}

// Leave gives back every right and asks for none any more.
func (v *Voter) Leave(ctx context.Context) {
	v.mu.Lock()
	v.leaving = true
	set := v.set
	var asked []*wire.Tenure
	for n, t := range v.held {
		asked = append(asked, &wire.Tenure{Right: n, Id: t.id})
	}
	v.held = map[string]*tenure{}
	v.mu.Unlock()
	if len(asked) > 0 {
		v.collect(ctx, set, asked, true)
	}
}

func (v *Voter) hear(member string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heard[member] = v.clock.Now()
}

// surplus gives up one right, if this process holds more than its part and a
// member that ranks first for it answers. It returns the tenure to give back,
// or nil.
func (v *Voter) surplus() *wire.Tenure {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var mine []string
	for _, n := range v.settings.Rights {
		if _, ok := v.holds(n); ok {
			mine = append(mine, n)
		}
	}
	if len(v.set.Members) == 0 || len(mine) <= (len(v.settings.Rights)+len(v.set.Members)-1)/len(v.set.Members) {
		return nil
	}
	for _, n := range mine {
		first := v.rank(n, v.set.Members)[0]
		at, ok := v.heard[first]
		if first == v.settings.Name || !ok || now-at > v.settings.Lease || now < v.quiet+v.settings.Lease {
			continue
		}
		t := &wire.Tenure{Right: n, Id: v.held[n].id}
		delete(v.held, n)
		v.yielded[n] = now + v.settings.Lease
		v.log.Info("right given up", "right", n, "to", first)
		return t
	}
	return nil
}
