package assembler

import (
	"log/slog"
	"sync"

	"radishspoke"
	"radishspoke/coordination/retrier"
	"radishspoke/platform"
)

// retryBudgets holds one retry budget for each group of targets. It implements
// fleetdispatcher.RetryBudgets.
type retryBudgets struct {
	bounds platform.Bounds
	peers  func() radishspoke.Peers // the other entries, which share the allowed retries

	mu     sync.Mutex
	groups map[string]*groupRetries
}

// groupRetries is the retry budget of a group, with counts since the last log line.
type groupRetries struct {
	budget                   *retrier.Budget
	requests, taken, refused int
}

// unknownLimit is the number of retries that an entry may accumulate, from its requests
// only, while it does not know how many entries share the slack.
const unknownLimit = 1

// newRetryBudgets returns retry budgets that are shared with the entries that the function
// returns.
func newRetryBudgets(b platform.Bounds, peers func() radishspoke.Peers) *retryBudgets {
	return &retryBudgets{bounds: b, peers: peers, groups: map[string]*groupRetries{}}
}

// Request records the first attempt of a request to a group.
func (r *retryBudgets) Request(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(group)
	g.requests++
	g.budget.Request()
}

// Retry takes one retry for a group from its budget, and returns whether there
// was one. This entry's part of the slack follows from the number of entries that are
// known now: after the start, none or few are.
func (r *retryBudgets) Retry(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(group)
	g.budget.SetLimit(r.limit())
	if !g.budget.Retry() {
		g.refused++
		return false
	}
	g.taken++
	return true
}

// Return gives back a retry that was taken and not used.
func (r *retryBudgets) Return(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(group)
	g.taken--
	g.budget.Return()
}

// slack returns this entry's part of the slack, and false if it is not known.
func (r *retryBudgets) slack() (retries float64, ok bool) {
	p := r.peers()
	return retryShare * r.bounds.RetrySlack / float64(p.Count()), p.Heard()
}

// limit returns the number of retries that this entry may accumulate.
func (r *retryBudgets) limit() float64 {
	if limit, ok := r.slack(); ok {
		return limit
	}
	return unknownLimit
}

// newBudget returns a budget that starts with this entry's part of the slack, or with no
// retry if that is not known: all entries may have started together.
func (r *retryBudgets) newBudget() *retrier.Budget {
	slack, ok := r.slack()
	if !ok {
		slack = 0
	}
	b := retrier.NewBounded(retryShare*r.bounds.RetryRatio, slack)
	if !ok {
		b.SetLimit(unknownLimit)
	}
	return b
}

// group returns the retries of a group. The caller holds the lock.
func (r *retryBudgets) group(name string) *groupRetries {
	g, ok := r.groups[name]
	if !ok {
		g = &groupRetries{budget: r.newBudget()}
		r.groups[name] = g
	}
	return g
}

// log writes a line for each group of which retries were asked for since the last call.
func (r *retryBudgets) log(log *slog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, g := range r.groups {
		if g.taken+g.refused > 0 {
			log.Info("retries", "group", name, "requests", g.requests, "taken", g.taken, "refused", g.refused, "entries", r.peers().Count())
		}
		g.requests, g.taken, g.refused = 0, 0, 0
	}
}
