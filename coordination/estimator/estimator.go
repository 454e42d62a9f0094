package estimator

import (
	"math"
	"sync"
	"time"

	"radishspoke"
)

// Timing holds the learned times of the engines of a group. Before the first
// sample, it holds a guess and Samples is 0.
type Timing struct {
	PrefillBase  time.Duration // of a prompt, besides its tokens
	PrefillToken float64       // seconds for each token that the engine has to read
	FirstEvent   time.Duration // median, from the end of the prefill to the first event
	Transfer     time.Duration // median, until an engine answers that fetches a KV cache
	OutputToken  float64       // seconds for each token of the requested maximum; an upper quantile

	// TransferSetup is the least time until an engine answers that fetches a KV cache,
	// without the time that the cache takes on the link.
	TransferSetup time.Duration

	// OutputShare is the part of the requested maximum of output tokens that answers use; an
	// upper quantile of what this process has seen, and 1 before the first sample.
	OutputShare float64

	Samples int // number of prefills that the times are learnt from
}

// Prefill returns the time in which an engine that does nothing else reads a
// number of tokens.
func (t Timing) Prefill(tokens int) time.Duration {
	return t.PrefillBase + seconds(t.PrefillToken*float64(tokens))
}

// Guesses before the first samples. They are replaced within the first few
// answers.
const (
	guessedPrefillBase  = 5 * time.Millisecond
	guessedPrefillToken = 10e-6 // seconds
	guessedFirstEvent   = 30 * time.Millisecond
	guessedTransfer     = 10 * time.Millisecond
	guessedOutputToken  = 5e-3 // seconds
	guessedSetup        = 5 * time.Millisecond
)

const (
	// outputQuantile is the quantile of the time for each token of an answer. A stop
	// must leave enough time for most answers.
	outputQuantile = 0.95

	// shareQuantile is the quantile of the part of the requested output that is used. A hold
	// should cover most answers.
	shareQuantile = 0.8

	// setupDoubling is the time in which the least time of a transfer doubles if no transfer
	// takes less. It must not follow the times of congested engines: decode engines would
	// then read long prompts themselves, and there would be no transfers any more that
	// could show a lesser time.
	setupDoubling = 5 * time.Minute

	slowdownWeight = 0.2 // weight of the newest sample in the slowdown of an engine
	minSlowdown    = 0.25
	maxSlowdown    = 8.0 // bounds one sample, so that a single straggler does not decide

	// slowdownHalfLife is the time in which the excess of an engine's slowdown
	// halves while there are no samples. A queue has drained by then.
	slowdownHalfLife = time.Second

	// maxWeight bounds the samples that count for the weight of one process, so
	// that a process that has run for long does not outweigh newer ones.
	maxWeight = 200

	// maxTime bounds each time of another process, and maxSamples their number, so that
	// sums don't overflow.
	maxTime    = time.Hour
	maxSamples = 1 << 31

	// maxShareAge is the age from which on the times of another process are ignored.
	maxShareAge = 10 * time.Second
)

// group holds the samples of the engines of one group.
type group struct {
	prefill    line
	firstEvent quantile
	transfer   quantile
	output     quantile
	used       quantile         // part of the requested output tokens
	setup      float64          // seconds; 0 before the first sample
	setupAt    time.Duration    // time of the newest sample
	shared     map[string]share // by process
}

// share is what another process has learnt.
type share struct {
	timing Timing
	at     time.Duration
}

// engine holds the slowdown of one engine.
type engine struct {
	slowdown float64
	at       time.Duration
}

// Estimator learns the times of engines. It is safe for concurrent use. Create it
// with New.
type Estimator struct {
	clock radishspoke.Clock

	mu      sync.Mutex
	groups  map[string]*group
	engines map[string]*engine
}

// New returns an Estimator without samples.
func New(c radishspoke.Clock) *Estimator {
	return &Estimator{clock: c, groups: map[string]*group{}, engines: map[string]*engine{}}
}

// group returns the state of a group. The caller holds the lock.
func (e *Estimator) group(name string) *group {
	g, ok := e.groups[name]
	if !ok {
		g = &group{firstEvent: quantile{share: 0.5}, transfer: quantile{share: 0.5}, output: quantile{share: outputQuantile}, used: quantile{share: shareQuantile}, shared: map[string]share{}}
		e.groups[name] = g
	}
	return g
}

// ObservePrefill records that an engine took a time to read a number of tokens
// that it did not have in its cache.
func (e *Estimator) ObservePrefill(groupName, engineID string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.group(groupName)
	expected := e.timing(g).Prefill(tokens).Seconds()
	g.prefill.add(tokens, took)
	ratio := min(maxSlowdown, max(minSlowdown, took.Seconds()/expected))
	now := e.clock.Now()
	s, ok := e.engines[engineID]
	if !ok {
		s = &engine{slowdown: 1}
		e.engines[engineID] = s
	}
	s.slowdown = s.current(now)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	s.at = now
}

// ObserveFirstEvent records the time from the end of a prefill, or from the answer
// of an engine that read the prompt itself, to the first event.
func (e *Estimator) ObserveFirstEvent(groupName string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group(groupName).firstEvent.add(took.Seconds())
}

// ObserveTransfer records the time until an engine answered that had to fetch a KV
// cache, of which the cache takes the time link to cross the link.
func (e *Estimator) ObserveTransfer(groupName string, took, link time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.group(groupName)
	g.transfer.add(took.Seconds())
	setup, now := max(0, took-link).Seconds(), e.clock.Now()
	if g.setup > 0 {
		setup = min(setup, g.setup*math.Exp2(float64(now-g.setupAt)/float64(setupDoubling)))
	}
	g.setup, g.setupAt = setup, now
}

// ObserveOutput records the time between the first and the last event of an answer
// for which at most output tokens were requested.
func (e *Estimator) ObserveOutput(groupName string, output int, took time.Duration) {
	if output <= 0 || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group(groupName).output.add(took.Seconds() / float64(output))
}

// ObserveOutputShare records that a complete answer had a number of tokens, of at most output
// that were requested.
func (e *Estimator) ObserveOutputShare(groupName string, output, tokens int) {
	if output <= 0 || tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group(groupName).used.add(min(1, float64(tokens)/float64(output)))
}

// Timing returns the times of a group, by the samples of this process and of
// others.
func (e *Estimator) Timing(groupName string) Timing {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timing(e.group(groupName))
}

// timing weighs what this process has learnt with what the others have. The least time of a
// transfer is the least of all.
func (e *Estimator) timing(g *group) Timing {
	var sum Timing
	var total, base, first, transfer float64
	add := func(t Timing) {
		w := float64(min(t.Samples, maxWeight))
		total += w
		base += w * t.PrefillBase.Seconds()
		first += w * t.FirstEvent.Seconds()
		transfer += w * t.Transfer.Seconds()
		if total == w || t.TransferSetup < sum.TransferSetup {
			sum.TransferSetup = t.TransferSetup
		}
		sum.PrefillToken += w * t.PrefillToken
		sum.OutputToken += w * t.OutputToken
		sum.Samples += t.Samples
	}
	add(g.own())
	now := e.clock.Now()
	for process, s := range g.shared {
		if now-s.at > maxShareAge {
			delete(g.shared, process)
			continue
		}
		add(s.timing)
	}
	if total == 0 {
		t := g.own()
		t.Samples = 0
		return t
	}
	sum.OutputShare = g.used.get(1)
	sum.PrefillToken /= total
	sum.OutputToken /= total
	sum.PrefillBase, sum.FirstEvent, sum.Transfer = seconds(base/total), seconds(first/total), seconds(transfer/total)
	return sum
}

// own returns what this process has learnt itself, and guesses for the rest.
func (g *group) own() Timing {
	t := Timing{PrefillBase: guessedPrefillBase, PrefillToken: guessedPrefillToken}
	if g.prefill.count >= minLineSamples {
		t.PrefillBase, t.PrefillToken, t.Samples = seconds(g.prefill.base), g.prefill.slope, g.prefill.count
	}
	t.FirstEvent = seconds(g.firstEvent.get(guessedFirstEvent.Seconds()))
	t.Transfer = seconds(g.transfer.get(guessedTransfer.Seconds()))
	t.TransferSetup = guessedSetup
	if g.setup > 0 {
		t.TransferSetup = seconds(g.setup)
	}
	t.OutputToken = g.output.get(guessedOutputToken)
	t.OutputShare = g.used.get(1)
	return t
}

// Own returns the times that this process has learnt itself, by group, to be sent
// to other processes. Groups without samples are left out.
func (e *Estimator) Own() map[string]Timing {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]Timing{}
	for name, g := range e.groups {
		if t := g.own(); t.Samples > 0 {
			out[name] = t
		}
	}
	return out
}

// Merge records the times that another process has learnt. Times that cannot be
// right are ignored.
func (e *Estimator) Merge(process, groupName string, t Timing) {
	for _, d := range []time.Duration{t.PrefillBase, t.FirstEvent, t.Transfer, t.TransferSetup} {
		if d < 0 || d > maxTime {
			return
		}
	}
	if t.Samples <= 0 || !possible(t.PrefillToken) || !possible(t.OutputToken) {
		return
	}
	t.Samples = min(t.Samples, maxSamples)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group(groupName).shared[process] = share{t, e.clock.Now()}
}

func positive(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

// possible reports whether a time in seconds can be that of one token.
func possible(x float64) bool { return x > 0 && x <= maxTime.Seconds() }

// Slowdown returns the ratio of the time that an engine takes for prompts to the
// time of an engine that does nothing else.
func (e *Estimator) Slowdown(engineID string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.engines[engineID]
	if !ok {
		return 1
	}
	return s.current(e.clock.Now())
}

// current returns the slowdown, less what has decayed since the last sample.
func (s *engine) current(now time.Duration) float64 {
	return 1 + (s.slowdown-1)*math.Exp2(-float64(now-s.at)/float64(slowdownHalfLife))
}

// Keep forgets all engines but those listed.
func (e *Estimator) Keep(list []radishspoke.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
	}
	for id := range e.engines {
		if !listed[id] {
			delete(e.engines, id)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
