package fake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// EngineSettings describe a fake engine.
type EngineSettings struct {
	Name    string
	Model   string
	Version string
	Role    radishspoke.Role

	// Slots is the most sequences decoded at once; 32 if zero. Blocks is the
	// number of KV blocks; 256 if zero.
	Slots  int
	Blocks int

	// Fencing makes the engine refuse orders with old numbers.
	Fencing bool

	// A step takes StepBase, PrefillCost for each prompt token read in it
	// and DecodeCost for each sequence that got a token in it. The defaults
	// are 8 ms, 50 µs and 100 µs; a negative value means none.
	StepBase    time.Duration
	PrefillCost time.Duration
	DecodeCost  time.Duration

	// EventLag is how late cache events are shown, and EventGap, if not
	// zero, loses one in so many.
	EventLag time.Duration
	EventGap int

	// LoadLag is how old the load report is; RoleChange how long an order
	// takes.
	LoadLag    time.Duration
	RoleChange time.Duration
}

const (
	defaultSlots       = 32
	defaultBlocks      = 256
	defaultStepBase    = 8 * time.Millisecond
	defaultPrefillCost = 50 * time.Microsecond
	defaultDecodeCost  = 100 * time.Microsecond
	prefillChunk       = 2048 // prompt tokens read in one step
	tokenBuffer        = 4096 // tokens held for a reader that is slow
)

func (s *EngineSettings) fill() {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Blocks == 0 {
		s.Blocks = defaultBlocks
	}
	fillDuration(&s.StepBase, defaultStepBase)
	fillDuration(&s.PrefillCost, defaultPrefillCost)
	fillDuration(&s.DecodeCost, defaultDecodeCost)
	if s.Role == "" {
		s.Role = radishspoke.BothRole
	}
}

func fillDuration(d *time.Duration, value time.Duration) {
	switch {
	case *d == 0:
		*d = value
	case *d < 0:
		*d = 0
	}
}

// Errors of a fake engine.
var (
	ErrWrongModel = errors.New("model is not loaded")
	ErrCrashed    = errors.New("engine crashed")
	ErrChanging   = errors.New("engine is changing")
)

// EngineCounts are what an engine has seen.
type EngineCounts struct {
	Generations int // sequences taken
	Tokens      int // tokens sent
	Orders      int // orders carried out
	Conflicts   int // orders that came while another was carried out
	Cancelled   int
}

// Engine is a model engine with continuous batching. Make it with NewEngine.
type Engine struct {
	settings EngineSettings

	mu        sync.Mutex
	state     radishspoke.EngineState
	last      radishspoke.Order
	cache     *prefixCache
	sequences []*sequence
	loads     []timedLoad
	counts    EngineCounts
	crashed   bool
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}
}

type timedLoad struct {
	at   time.Time
	load radishspoke.Load
}

// sequence is one answer in the making.
type sequence struct {
	id       string
	model    string
	prompt   string
	hashes   []uint64
	priority int
	arrival  int
	cached   int // prompt tokens
	left     int // prompt tokens to read
	next     int // token to send
	length   int
	reason   string
	out      chan string
	gone     chan struct{} // closed when the reader has left
	once     sync.Once
}

func (q *sequence) leave() { q.once.Do(func() { close(q.gone) }) }

// NewEngine returns a running engine. Close ends it.
func NewEngine(s EngineSettings) *Engine {
	s.fill()
	e := &Engine{
		settings: s,
		state:    radishspoke.EngineState{Role: s.Role, Model: s.Model, Version: s.Version},
		cache:    newPrefixCache(s.Blocks, s.EventGap),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	go e.run()
	return e
}

// Close ends the engine and waits for it.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// Counts returns what the engine has seen so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Crash drops every sequence and the cache; Restart ends it.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for _, q := range e.sequences {
		close(q.out)
	}
	e.sequences = nil
	e.cache = newPrefixCache(e.settings.Blocks, e.settings.EventGap)
	e.state.Changing = false
}

// Restart brings a crashed engine back as it first was.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.state = radishspoke.EngineState{Role: e.settings.Role, Model: e.settings.Model, Version: e.settings.Version}
}

// start admits a sequence.
func (e *Engine) start(id string, g radishspoke.Generation, produced int) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil, ErrCrashed
	}
	if e.state.Changing {
		return nil, ErrChanging
	}
	if g.Model != e.state.Model {
		return nil, ErrWrongModel
	}
	length := AnswerLength(g.Model, g.Prompt, g.MaxTokens)
	q := &sequence{
		id: id, model: g.Model, prompt: g.Prompt, priority: g.Priority,
		hashes: BlockHashes(g.Model, g.Prompt), arrival: e.counts.Generations,
		next: produced, length: length, reason: "stop",
		out: make(chan string, tokenBuffer), gone: make(chan struct{}),
	}
	if length == g.MaxTokens {
		q.reason = "length"
	}
	q.cached = e.cache.match(q.hashes) * BlockTokens
	q.left = promptTokens(g.Prompt) + produced - q.cached
	e.counts.Generations++
	e.sequences = append(e.sequences, q)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return q, nil
}

// cancel drops the sequence of that id.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range e.sequences {
		if q.id == id {
			q.leave()
			e.counts.Cancelled++
		}
	}
}

func (e *Engine) load() radishspoke.Load {
	l := radishspoke.Load{
		Target: e.settings.Name, TotalBlocks: e.settings.Blocks, FreeBlocks: e.settings.Blocks,
		Role: e.state.Role, Model: e.state.Model, Version: e.state.Version,
	}
	for i, q := range e.sequences {
		if i < e.settings.Slots {
			l.Running++
		} else {
			l.Waiting++
		}
		l.PrefillTokens += q.left
		l.FreeBlocks -= blocksOf(promptTokens(q.prompt) + q.next)
	}
	l.FreeBlocks = max(0, l.FreeBlocks)
	return l
}

// Load returns the report as it was LoadLag ago.
func (e *Engine) Load() radishspoke.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sequences) == 0 {
		e.record()
	}
	limit := time.Now().Add(-e.settings.LoadLag)
	out := e.load()
	for _, l := range e.loads {
		if !l.at.After(limit) {
			out = l.load
		}
	}
	return out
}

// State returns what the engine is.
func (e *Engine) State() radishspoke.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Apply carries out an order, which takes RoleChange.
func (e *Engine) Apply(ctx context.Context, o radishspoke.Order) error {
	if err := e.begin(o); err != nil {
		return err
	}
	t := time.NewTimer(e.settings.RoleChange)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done(): // the engine goes on with what it has begun
		<-t.C
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || !e.state.Changing {
		return ErrCrashed
	}
	e.state = radishspoke.EngineState{Role: o.Role, Model: o.Model, Version: o.Version, Adapters: o.Adapters}
	e.counts.Orders++
	return nil
}

func (e *Engine) begin(o radishspoke.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return ErrCrashed
	}
	if e.settings.Fencing && o.Older(e.last) {
		return radishspoke.ErrStaleOrder
	}
	if e.state.Changing {
		e.counts.Conflicts++
		return ErrChanging
	}
	e.last = o
	e.state.Changing = true
	return nil
}
