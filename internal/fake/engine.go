package fake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// EngineSettings are the settings of an Engine.
type EngineSettings struct {
	Name    string
	Model   string
	Version string
	Role    radishspoke.Role

	// Slots is the maximum number of sequences decoded at the same time; 32 if
	// zero. Blocks is the number of KV blocks; 256 if zero.
	Slots  int
	Blocks int

	// Fencing makes the engine reject an order that is older than the last
	// one it began.
	Fencing bool

	// A step takes StepBase, plus PrefillCost for each prompt token that it
	// prefills, plus DecodeCost for each sequence for which it decodes a
	// token. The defaults are 8 ms, 50 µs and 100 µs; a negative value means 0.
	StepBase    time.Duration
	PrefillCost time.Duration
	DecodeCost  time.Duration

	// EventLag is the delay until a cache event is visible. If
	// EventLossInterval is not zero, every event whose sequence number is a
	// multiple of it is lost.
	EventLag          time.Duration
	EventLossInterval int

	// LoadLag is the age of the load report. RoleChange is the time that an
	// order takes.
	LoadLag    time.Duration
	RoleChange time.Duration

	// Rooms makes the engine refuse generations for which it has no slot, take reservations,
	// and state its load and its slowness, as engines of the external platform do. It may be
	// nil.
	Rooms *Reservations
}

const (
	defaultSlots       = 32
	defaultBlocks      = 256
	defaultStepBase    = 8 * time.Millisecond
	defaultPrefillCost = 50 * time.Microsecond
	defaultDecodeCost  = 100 * time.Microsecond
	prefillChunk       = 2048 // prompt tokens prefilled in one step
	tokenBuffer        = 4096 // tokens buffered for each sequence, for a slow reader; decoding waits when the buffer is full
)

func (s *EngineSettings) setDefaults() {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Blocks == 0 {
		s.Blocks = defaultBlocks
	}
	setDefaultDuration(&s.StepBase, defaultStepBase)
	setDefaultDuration(&s.PrefillCost, defaultPrefillCost)
	setDefaultDuration(&s.DecodeCost, defaultDecodeCost)
	if s.Role == "" {
		s.Role = radishspoke.BothRole
	}
}

// setDefaultDuration replaces a zero duration by value and a negative one by 0.
func setDefaultDuration(d *time.Duration, value time.Duration) {
	switch {
	case *d == 0:
		*d = value
	case *d < 0:
		*d = 0
	}
}

// Errors returned by an Engine.
var (
	ErrWrongModel = errors.New("model is not loaded")
	ErrCrashed    = errors.New("engine crashed")
	ErrChanging   = errors.New("engine is carrying out an order")
)

// EngineCounts are the event counts of an engine.
type EngineCounts struct {
	Generations int // sequences admitted
	Tokens      int // tokens decoded
	Orders      int // orders carried out
	Conflicts   int // orders rejected because another was being carried out
	Cancelled   int // sequences cancelled
}

// Engine is a fake of a model engine with continuous batching. It is safe for
// concurrent use. Create it with NewEngine.
type Engine struct {
	settings EngineSettings

	mu        sync.Mutex
	state     radishspoke.EngineState
	lastOrder radishspoke.Order // last order that was begun
	cache     *prefixCache
	sequences []*sequence
	loads     []timedLoad // past loads, the oldest first; see LoadLag
	counts    EngineCounts
	crashed   bool
	wake      chan struct{} // signals a new sequence to the step loop
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when the step loop has ended
}

// timedLoad is the load at a time.
type timedLoad struct {
	at   time.Time
	load radishspoke.Load
}

// sequence is an answer that is being generated.
type sequence struct {
	id            string
	model         string
	prompt        string
	hashes        []uint64
	priority      int
	arrival       int           // number of sequences admitted before
	cachedTokens  int           // of the prompt
	prefillTokens int           // tokens still to be prefilled
	next          int           // index of the next token of the answer
	length        int           // of the answer, in tokens
	reason        string        // why the answer ends: stop or length
	out           chan string   // decoded tokens; closed when the sequence is removed
	abandoned     chan struct{} // closed when the caller has disconnected or the sequence is cancelled
	once          sync.Once
}

// abandon makes the step loop remove the sequence.
func (q *sequence) abandon() { q.once.Do(func() { close(q.abandoned) }) }

// NewEngine returns a running engine. Close stops it.
func NewEngine(s EngineSettings) *Engine {
	s.setDefaults()
	e := &Engine{
		settings: s,
		state:    radishspoke.EngineState{Role: s.Role, Model: s.Model, Version: s.Version},
		cache:    newPrefixCache(s.Blocks, s.EventLossInterval),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	go e.run()
	return e
}

// Close stops the engine and waits until it has stopped.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// Counts returns the event counts so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Crash drops all sequences and the cache. Generations and orders then fail with
// ErrCrashed until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for _, q := range e.sequences {
		close(q.out)
	}
	e.sequences = nil
	e.cache = newPrefixCache(e.settings.Blocks, e.settings.EventLossInterval)
	e.state.Changing = false
}

// Restart restarts a crashed engine in its initial role, model and version.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.state = radishspoke.EngineState{Role: e.settings.Role, Model: e.settings.Model, Version: e.settings.Version}
}

// admit admits a sequence whose answer continues after the first produced tokens.
// These are prefilled like the prompt. admit returns ErrCrashed, ErrChanging or
// ErrWrongModel if the engine cannot generate the answer now.
func (e *Engine) admit(id string, g radishspoke.Generation, produced int) (*sequence, error) {
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
		out: make(chan string, tokenBuffer), abandoned: make(chan struct{}),
	}
	if length == g.MaxTokens {
		q.reason = "length"
	}
	q.cachedTokens = e.cache.match(q.hashes) * BlockTokens
	q.prefillTokens = promptTokens(g.Prompt) + produced - q.cachedTokens
	e.counts.Generations++
	e.sequences = append(e.sequences, q)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return q, nil
}

// cancel cancels the sequences of the given ID.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range e.sequences {
		if q.id == id {
			q.abandon()
			e.counts.Cancelled++
		}
	}
}

// load returns the current load. The engine must be locked.
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
		l.PrefillTokens += q.prefillTokens
		l.FreeBlocks -= blockCount(promptTokens(q.prompt) + q.next)
	}
	l.FreeBlocks = max(0, l.FreeBlocks)
	return l
}

// Load returns the load as it was LoadLag ago, or the current load if none was
// recorded before that time.
func (e *Engine) Load() radishspoke.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.sequences) == 0 {
		e.recordLoad()
	}
	latest := time.Now().Add(-e.settings.LoadLag)
	out := e.load()
	for _, l := range e.loads {
		if !l.at.After(latest) {
			out = l.load
		}
	}
	return out
}

// State returns the current role, model, version and adapters of the engine, and
// whether it is carrying out an order.
func (e *Engine) State() radishspoke.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Apply carries out an order, which takes RoleChange even if ctx ends earlier. It
// returns ErrChanging while another order is carried out, and ErrCrashed if the
// engine has crashed or crashes meanwhile. With Fencing, it returns
// radishspoke.ErrStaleOrder for an order that is older than the last one begun.
func (e *Engine) Apply(ctx context.Context, o radishspoke.Order) error {
	if err := e.beginOrder(o); err != nil {
		return err
	}
	t := time.NewTimer(e.settings.RoleChange)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done(): // the engine completes an order that it has begun
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

// beginOrder checks an order and marks the engine as changing.
func (e *Engine) beginOrder(o radishspoke.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return ErrCrashed
	}
	if e.settings.Fencing && o.Older(e.lastOrder) {
		return radishspoke.ErrStaleOrder
	}
	if e.state.Changing {
		e.counts.Conflicts++
		return ErrChanging
	}
	e.lastOrder = o
	e.state.Changing = true
	return nil
}
