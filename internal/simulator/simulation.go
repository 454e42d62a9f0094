package simulator

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"time"

	"radishspoke"
)

// Result holds the measurements of one simulation.
type Result struct {
	Offered int // all requests
	OnTime  int // requests with a complete answer within the deadline
	Refused int // requests that an entry refused

	// FirstTokenP95 is the 95th percentile of the time to the first token,
	// over the requests that received one.
	FirstTokenP95 time.Duration

	// WorstGoodput is the lowest goodput of a team, from 0 to 1, and
	// WorstTeam is the name of that team. Both leave out the noisy team and
	// teams without requests. If the goodput of all other teams is 1,
	// WorstTeam is empty.
	WorstGoodput float64
	WorstTeam    string

	// PrefixHits is the share of prompt tokens that were found in prefix
	// caches, from 0 to 1.
	PrefixHits float64
}

// Goodput returns the share of the offered requests that were answered on time,
// from 0 to 1.
func (r Result) Goodput() float64 { return float64(r.OnTime) / float64(max(1, r.Offered)) }

// event is a scheduled action of a simulation.
type event struct {
	at  time.Duration
	seq int // number of the event in order of scheduling, which breaks ties in time
	do  func()
}

// eventHeap is a heap of events by time. It implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation is the state of one run.
type simulation struct {
	now        time.Duration
	events     eventHeap
	seq        int // of the event scheduled last
	scenario   Scenario
	engines    map[string]*engine // by name
	engineList []*engine          // by index
	entries    []*entry
}

// reportInterval is the interval between the load reports of an engine to an
// entry.
const reportInterval = time.Second

// Run simulates a scenario under a policy and returns the result. The simulation
// goes on for at most a minute after the end of the traffic. Equal arguments
// give equal results.
func Run(s Scenario, p Policy, seed uint64) Result {
	requests := generate(s, rand.New(rand.NewPCG(seed, 1)))
	r := &simulation{scenario: s, engines: map[string]*engine{}}
	for i := range s.Engines {
		e := &engine{name: engineName(i), cache: map[uint64]int{}}
		r.engines[e.name] = e
		r.engineList = append(r.engineList, e)
	}
	for i := range s.Entries {
		r.entries = append(r.entries, newEntry(p, s, rand.New(rand.NewPCG(seed, uint64(i)+2))))
	}
	for i := range r.entries {
		r.at(0, func() { r.report(i) })
	}
	for _, q := range requests {
		r.at(q.at, func() { r.arrive(q) })
	}
	if s.EngineFailure > 0 {
		r.at(s.EngineFailure, r.failEngine)
	}
	for len(r.events) > 0 && r.now < s.Length+time.Minute {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return summarize(s, requests)
}

// at adds an event that calls do at time t.
func (r *simulation) at(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: t, seq: r.seq, do: do})
}

// report takes a load report of every engine that has not failed, delivers the
// reports to entry i after the report lag, and schedules the next reports to it.
func (r *simulation) report(i int) {
	var loads []radishspoke.Load
	for _, e := range r.engineList {
		if !e.failed {
			loads = append(loads, radishspoke.Load{Target: e.name, Running: len(e.sequences), PrefillTokens: e.prefillTokens(), Role: radishspoke.BothRole, Model: pool})
		}
	}
	lag := r.scenario.ReportLag
	if r.now == 0 {
		lag = 0 // a new session delivers a current load report at once
	}
	r.at(r.now+lag, func() {
		for _, l := range loads {
			r.entries[i].router.Observe(r.now, lag, l)
		}
		r.dispatch(i)
	})
	if r.now < r.scenario.Length+time.Minute {
		offset := time.Duration(0)
		if r.now == 0 {
			// Spreads the reports to the entries evenly over the interval.
			offset = reportInterval * time.Duration(i) / time.Duration(len(r.entries))
		}
		r.at(r.now+reportInterval+offset, func() { r.report(i) })
	}
}

// arrive queues a request at its entry.
func (r *simulation) arrive(q *request) {
	r.entries[q.entry].push(q)
	r.dispatch(q.entry)
}

// dispatch sends queued requests of entry i to engines until the queue is empty
// or no engine is available.
func (r *simulation) dispatch(i int) {
	for {
		q, name, ok := r.entries[i].assign(r.now)
		if !ok {
			return
		}
		if name == "" {
			continue
		}
		r.send(q, name)
	}
}

// send passes a request to an engine, or retries it if the engine has failed.
func (r *simulation) send(q *request, name string) {
	e := r.engines[name]
	if e.failed {
		r.retry(q, name)
		return
	}
	e.admit(q)
	if !e.busy {
		e.busy = true
		r.step(e)
	}
}

// retry takes a request back from a failed engine: it marks the engine as failed at
// the entry of the request, and queues the request there again.
func (r *simulation) retry(q *request, name string) {
	receiver := r.entries[q.entry]
	if q.firstToken == 0 {
		// The router expects a call of Began for each call of Sent.
		receiver.began(r.now, q, name)
	}
	q.firstToken = 0
	receiver.ended(r.now, name)
	receiver.failed[name] = true
	receiver.router.MarkUnreachable(name)
	q.retries++
	receiver.push(q)
	r.at(r.now, func() { r.dispatch(q.entry) })
}

// step runs a step of an engine and schedules the next one, until the engine has no
// sequences or has failed.
func (r *simulation) step(e *engine) {
	if e.failed || len(e.sequences) == 0 {
		e.busy = false
		return
	}
	duration, ended := e.step()
	end := r.now + duration
	running := e.sequences
	r.at(end, func() {
		for _, s := range append(ended[:len(ended):len(ended)], running...) {
			if s.generated > 0 && s.request.firstToken == 0 {
				s.request.firstToken = r.now
				r.entries[s.request.entry].began(r.now, s.request, e.name)
			}
		}
		for _, s := range ended {
			s.request.ended = r.now
			receiver := r.entries[s.request.entry]
			receiver.router.RecordLength(receiver.work(s.request), s.request.output)
			r.entries[s.request.entry].ended(r.now, e.name)
			r.dispatch(s.request.entry)
		}
		r.step(e)
	})
}

// failEngine fails the first engine. Its requests are retried.
func (r *simulation) failEngine() {
	e := r.engineList[0]
	e.failed = true
	for _, s := range e.sequences {
		r.retry(s.request, e.name)
	}
	e.sequences = nil
}

// summarize returns the result of a simulation from its requests.
func summarize(s Scenario, requests []*request) Result {
	out := Result{Offered: len(requests), WorstGoodput: 1}
	offered, onTime := map[string]int{}, map[string]int{}
	var firstToken []time.Duration
	prompt, cached := 0, 0
	for _, q := range requests {
		offered[q.team]++
		prompt += q.prompt
		cached += min(q.cached, q.prompt)
		if q.refused {
			out.Refused++
		}
		if q.firstToken > 0 {
			firstToken = append(firstToken, q.firstToken-q.at)
		}
		if q.onTime() {
			out.OnTime++
			onTime[q.team]++
		}
	}
	sort.Slice(firstToken, func(i, j int) bool { return firstToken[i] < firstToken[j] })
	if len(firstToken) > 0 {
		out.FirstTokenP95 = firstToken[len(firstToken)*95/100]
	}
	for _, t := range s.Teams {
		if t.Name == s.NoisyTeam || offered[t.Name] == 0 {
			continue
		}
		if goodput := float64(onTime[t.Name]) / float64(offered[t.Name]); goodput < out.WorstGoodput {
			out.WorstGoodput, out.WorstTeam = goodput, t.Name
		}
	}
	out.PrefixHits = float64(cached) / float64(max(1, prompt))
	return out
}
