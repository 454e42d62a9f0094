package forecaster

import (
	"math"
	"sync"
	"time"

	"radishspoke"
)

// Load is the work for the engines of a group.
type Load struct {
	Prefill  float64 // time of engines that prefill, in engine-seconds per second
	Streams  float64 // answers in progress
	Memory   float64 // tokens that these answers hold in the caches of engines
	Transfer float64 // time of engines that fetch KV caches, in engine-seconds per second
	Tokens   float64 // prompt tokens that engines read, per second
}

func (l Load) add(o Load, scale float64) Load {
	return Load{
		l.Prefill + scale*o.Prefill, l.Streams + scale*o.Streams, l.Memory + scale*o.Memory,
		l.Transfer + scale*o.Transfer, l.Tokens + scale*o.Tokens,
	}
}

const (
	// memory is the time constant of the means. A shift of the mix shows within
	// seconds, and single requests don't.
	memory = 2 * time.Second

	// maxReportAge is the age at which the report of another process is ignored.
	maxReportAge = 3 * time.Second
)

// mean is a mean of loads that decays with time.
type mean struct {
	sum  Load
	open Load // answers in progress and what they hold
	at   time.Duration
}

// advance decays the sum, and adds what was in progress since.
func (m *mean) advance(now time.Duration) {
	decay := math.Exp(-float64(now-m.at) / float64(memory))
	m.sum = Load{}.add(m.sum, decay).add(m.open, memory.Seconds()*(1-decay))
	m.at = now
}

func (m *mean) current(now time.Duration) Load {
	m.advance(now)
	return Load{}.add(m.sum, 1/memory.Seconds())
}

// report is the load that another process has measured.
type report struct {
	load Load
	at   time.Duration
}

// Forecaster measures loads. It is safe for concurrent use. Create it with New.
type Forecaster struct {
	clock radishspoke.Clock

	mu     sync.Mutex
	own    map[string]*mean             // by group
	others map[string]map[string]report // by group and process
}

// New returns a Forecaster that has seen no work.
func New(c radishspoke.Clock) *Forecaster {
	return &Forecaster{clock: c, own: map[string]*mean{}, others: map[string]map[string]report{}}
}

// ObservePrompt records a prompt of which an engine has read a number of tokens, and
// whose prefill takes an engine that does nothing else the given time. Prompts count
// when they have been read: answers are also only measured for these, so that the
// ratio is that of the mix even if more prompts arrive than can be read.
func (f *Forecaster) ObservePrompt(group string, tokens int, prefill time.Duration) {
	f.observe(group, Load{Prefill: prefill.Seconds(), Tokens: float64(tokens)})
}

// ObserveTransfer records a KV cache that an engine has fetched in the given time.
func (f *Forecaster) ObserveTransfer(group string, took time.Duration) {
	f.observe(group, Load{Transfer: took.Seconds()})
}

// BeginStream records that an engine has begun an answer which holds tokens in its
// cache. The caller must call end when the answer has ended.
func (f *Forecaster) BeginStream(group string, tokens int) (end func()) {
	l := Load{Streams: 1, Memory: float64(tokens)}
	f.open(group, l, 1)
	var once sync.Once
	return func() { once.Do(func() { f.open(group, l, -1) }) }
}

func (f *Forecaster) open(group string, l Load, scale float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mean(group)
	m.open = m.open.add(l, scale)
}

func (f *Forecaster) observe(group string, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mean(group)
	m.sum = m.sum.add(l, 1)
}

// Open returns the number of answers of a group that this process has in progress.
func (f *Forecaster) Open(group string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.own[group]; ok {
		return m.open.Streams
	}
	return 0
}

// mean returns the mean of a group, advanced to the present.
func (f *Forecaster) mean(group string) *mean {
	now := f.clock.Now()
	m, ok := f.own[group]
	if !ok {
		m = &mean{at: now}
		f.own[group] = m
	}
	m.advance(now)
	return m
}

// Own returns the loads that this process has measured, by group.
func (f *Forecaster) Own() map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Load, len(f.own))
	now := f.clock.Now()
	for group, m := range f.own {
		out[group] = m.current(now)
	}
	return out
}

// Merge records the load that another process has measured.
func (f *Forecaster) Merge(process, group string, l Load) {
	for _, x := range []float64{l.Prefill, l.Streams, l.Memory, l.Transfer, l.Tokens} {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.others[group]
	if !ok {
		m = map[string]report{}
		f.others[group] = m
	}
	m[process] = report{l, f.clock.Now()}
}

// Total returns the load of a group over all processes.
func (f *Forecaster) Total(group string) Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var out Load
	if m, ok := f.own[group]; ok {
		out = m.current(now)
	}
	for process, r := range f.others[group] {
		if now-r.at > maxReportAge {
			delete(f.others[group], process)
			continue
		}
		out = out.add(r.load, 1)
	}
	return out
}
