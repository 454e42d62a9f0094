package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"radishspoke"
	"radishspoke/coordination/router"
	"radishspoke/coordination/scheduler"
)

// Policy configures routing, queueing and admission control at the entries.
type Policy struct {
	Name string

	// Routing is the algorithm that selects an engine: "router" for the
	// production router, "round robin", "least outstanding" or "two choices"
	// (the less loaded of two engines drawn at random).
	Routing string

	// FairQueueing selects weighted fair queueing by team. If it is not
	// set, requests are queued in order of arrival.
	FairQueueing bool

	// RefuseLate refuses requests that are expected to miss their deadline.
	RefuseLate bool

	// FirstTokenOnly makes RefuseLate compare the deadline with the expected
	// time of the first token, not with that of the whole answer.
	FirstTokenOnly bool

	// Sample is the number of engines that the router compares for a
	// request. If it is 0, the default of the router is used.
	Sample int

	// HidePrefixes hides the prefixes of prompts from the router.
	HidePrefixes bool
}

// Policies returns the production policy, variants of it with one part changed or
// disabled, and the baselines, in this order.
func Policies() []Policy {
	return []Policy{
		{Name: "radishspoke", Routing: "router", FairQueueing: true, RefuseLate: true},
		{Name: "without prefixes", Routing: "router", FairQueueing: true, RefuseLate: true, HidePrefixes: true},
		{Name: "without refusals", Routing: "router", FairQueueing: true},
		{Name: "refusals by first token", Routing: "router", FairQueueing: true, RefuseLate: true, FirstTokenOnly: true},
		{Name: "a sample of 2", Routing: "router", FairQueueing: true, RefuseLate: true, Sample: 2},
		{Name: "a sample of 8", Routing: "router", FairQueueing: true, RefuseLate: true, Sample: 8},
		{Name: "first come", Routing: "router", RefuseLate: true},
		{Name: "round robin", Routing: "round robin"},
		{Name: "least outstanding", Routing: "least outstanding"},
		{Name: "two choices", Routing: "two choices"},
	}
}

// entry is the state of one simulated entry.
type entry struct {
	policy      Policy
	random      *rand.Rand
	router      *router.Router
	queue       *scheduler.Queue[*request]
	teams       map[string]Team
	engineNames []string        // of all engines, by index
	failed      map[string]bool // engines that are known to have failed
	turn        int             // number of engines that round robin has considered so far
	outstanding map[string]int  // requests sent and not ended, by engine
}

const (
	pool       = "m"    // name of the only model, which is its pool in the router
	queueLimit = 100000 // maximum number of queued requests of one team
)

// newEntry returns an entry with an empty queue that knows all engines of the
// scenario.
func newEntry(p Policy, s Scenario, random *rand.Rand) *entry {
	e := &entry{
		policy: p, random: random, router: router.New(router.Settings{Zone: "z", Sample: p.Sample}, random), queue: scheduler.New[*request](queueLimit),
		teams: map[string]Team{}, outstanding: map[string]int{}, failed: map[string]bool{},
	}
	var targets []radishspoke.Target
	for i := range s.Engines {
		n := engineName(i)
		e.engineNames = append(e.engineNames, n)
		targets = append(targets, radishspoke.Target{Name: n, Zone: "z", Kind: radishspoke.EngineTarget, Model: pool, Slots: slots})
	}
	e.router.SetTargets(targets)
	for _, t := range s.Teams {
		e.teams[t.Name] = t
	}
	return e
}

// engineName returns the name of the engine with index i.
func engineName(i int) string { return fmt.Sprintf("e%d", i) }

// work returns the description of a request for the router.
func (e *entry) work(r *request) router.Work {
	w := router.Work{Pool: pool, PromptTokens: r.prompt, OutputTokens: r.maxTokens, Prefix: r.prefix}
	if e.policy.HidePrefixes {
		w.Prefix = nil
	}
	return w
}

// push queues a request. It refuses the request if the queue of its team is
// full.
func (e *entry) push(r *request) {
	it := &scheduler.Item[*request]{Team: r.team, Pool: pool, Cost: float64(r.prompt + r.maxTokens), Value: r}
	share := scheduler.Share{Weight: 1, Order: 1}
	if e.policy.FairQueueing {
		t := e.teams[r.team]
		share = scheduler.Share{Weight: t.Weight, Order: t.Order}
	} else {
		// A cost of 0 gives all requests the same tag, so the queue
		// serves them in order of arrival.
		it.Cost = 0
	}
	if e.queue.Push(it, share) != nil {
		r.refused = true
	}
}

// assign removes the next request from the queue, assigns it to an engine, and
// returns it with the name of the engine. If the policy refuses the request, the
// name is empty. assign returns false and leaves the queue as it is if the queue is
// empty or no engine is available.
func (e *entry) assign(now time.Duration) (*request, string, bool) {
	it := e.queue.Peek(pool)
	if it == nil {
		return nil, "", false
	}
	r := it.Value
	name, delay, ok := e.selectEngine(now, r)
	if !ok {
		return nil, "", false
	}
	e.queue.Pop(pool)
	if e.policy.RefuseLate && now+delay > r.deadline {
		r.refused = true
		return r, "", true
	}
	e.outstanding[name]++
	e.router.Sent(now, name, e.work(r))
	return r, name, true
}

// selectEngine returns the name of the engine selected for a request, and the
// expected delay until its completion, or until its first token if the policy has
// FirstTokenOnly set. The baselines do not estimate the delay and return 0.
// selectEngine returns false if no engine is available.
func (e *entry) selectEngine(now time.Duration, r *request) (string, time.Duration, bool) {
	switch e.policy.Routing {
	case "router":
		c, ok := e.router.Pick(now, e.work(r))
		if e.policy.FirstTokenOnly {
			return c.Target.Name, c.FirstToken, ok
		}
		return c.Target.Name, c.Expected, ok
	case "round robin":
		for range e.engineNames {
			e.turn++
			if n := e.engineNames[e.turn%len(e.engineNames)]; !e.failed[n] {
				return n, 0, true
			}
		}
	case "least outstanding":
		best := ""
		for _, n := range e.engineNames {
			if !e.failed[n] && (best == "" || e.outstanding[n] < e.outstanding[best]) {
				best = n
			}
		}
		return best, 0, best != ""
	case "two choices":
		a, b := e.randomEngine(), e.randomEngine()
		if e.outstanding[b] < e.outstanding[a] {
			a = b
		}
		return a, 0, true
	}
	return "", 0, false
}

// randomEngine returns the name of a random engine that is not known to have
// failed.
func (e *entry) randomEngine() string {
	for {
		if n := e.engineNames[e.random.IntN(len(e.engineNames))]; !e.failed[n] {
			return n
		}
	}
}

// began records that an engine has returned the first token of a request.
func (e *entry) began(now time.Duration, r *request, name string) {
	e.router.Began(now, name, e.work(r))
}

// ended records that a request on an engine has ended.
func (e *entry) ended(now time.Duration, name string) {
	e.outstanding[name]--
	e.router.Ended(now, name, false)
}
