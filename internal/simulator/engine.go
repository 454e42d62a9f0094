package simulator

import "time"

// Parameters of the step model. A step takes stepBase, plus prefillCost for each
// prompt token that is prefilled in it, plus decodeCost for each sequence that
// generates a token in it.
const (
	stepBase     = 8 * time.Millisecond
	prefillCost  = 50 * time.Microsecond
	decodeCost   = 100 * time.Microsecond
	prefillChunk = 2048 // maximum number of prompt tokens prefilled in one step
	slots        = 32   // maximum number of sequences in one batch
	blockTokens  = 2000 // prompt tokens in a KV block
	cacheBlocks  = 256  // capacity of the prefix cache, in KV blocks
)

// sequence is a request that is queued or running on an engine.
type sequence struct {
	request   *request
	remaining int // prompt tokens that are not prefilled yet
	generated int // output tokens
}

// engine is a simulated engine with continuous batching, chunked prefill and an
// LRU prefix cache.
type engine struct {
	name      string
	sequences []*sequence
	busy      bool // a step is in progress
	failed    bool
	cache     map[uint64]int // cached blocks, by hash; the value is the number of the block's last use
	uses      int            // number of block uses so far
}

// admit queues a request on the engine. Prompt tokens in the leading blocks that
// are cached need no prefill.
func (e *engine) admit(r *request) {
	s := &sequence{request: r, remaining: r.prompt}
	for _, b := range r.prefix {
		if _, ok := e.cache[b]; !ok {
			break
		}
		e.touch(b)
		s.remaining -= blockTokens
		r.cached += blockTokens
	}
	s.remaining = max(0, s.remaining)
	e.sequences = append(e.sequences, s)
}

// touch marks a block as the most recently used one, adding it to the cache if
// needed, and evicts the least recently used block if the cache is over
// capacity.
func (e *engine) touch(block uint64) {
	e.uses++
	e.cache[block] = e.uses
	if len(e.cache) <= cacheBlocks {
		return
	}
	oldest, oldestUse := block, e.uses
	for b, u := range e.cache {
		if u < oldestUse {
			oldest, oldestUse = b, u
		}
	}
	delete(e.cache, oldest)
}

// step advances the engine by one step. It returns the duration of the step and
// the sequences that complete in it. The tokens of the step are available at its
// end.
func (e *engine) step() (time.Duration, []*sequence) {
	duration, chunk, decoded := stepBase, prefillChunk, 0
	var completed []*sequence
	unfinished := e.sequences[:0:0]
	for i, s := range e.sequences {
		if i >= slots {
			unfinished = append(unfinished, s)
			continue
		}
		if s.remaining > 0 && chunk > 0 {
			n := min(s.remaining, chunk)
			s.remaining -= n
			chunk -= n
			duration += time.Duration(n) * prefillCost
			if s.remaining == 0 {
				for _, b := range s.request.prefix {
					e.touch(b)
				}
			}
		}
		if s.remaining == 0 {
			s.generated++
			decoded++
		}
		if s.generated >= s.request.output {
			completed = append(completed, s)
			continue
		}
		unfinished = append(unfinished, s)
	}
	e.sequences = unfinished
	return duration + time.Duration(decoded)*decodeCost, completed
}

// prefillTokens returns the number of prompt tokens that are still to be prefilled.
func (e *engine) prefillTokens() int {
	n := 0
	for _, s := range e.sequences {
		n += s.remaining
	}
	return n
}
