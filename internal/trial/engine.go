package trial

import "time"

// The step model of an engine: a step takes stepBase, prefillCost for each
// prompt token read in it and decodeCost for each sequence that gets a token.
const (
	stepBase     = 8 * time.Millisecond
	prefillCost  = 50 * time.Microsecond
	decodeCost   = 100 * time.Microsecond
	prefillChunk = 2048 // prompt tokens read in one step
	slots        = 32
	blockTokens  = 2000
	cacheBlocks  = 256
)

// sequence is one request at an engine.
type sequence struct {
	request *request
	left    int // prompt tokens to read
	done    int // tokens given
}

// engine is one simulated engine.
type engine struct {
	name      string
	sequences []*sequence
	busy      bool
	lost      bool
	cache     map[uint64]int // block to last use
	uses      int
}

// admit queues a request at the engine.
func (e *engine) admit(r *request) {
	s := &sequence{request: r, left: r.prompt}
	for _, b := range r.prefix {
		if _, ok := e.cache[b]; !ok {
			break
		}
		e.touch(b)
		s.left -= blockTokens
		r.cached += blockTokens
	}
	s.left = max(0, s.left)
	e.sequences = append(e.sequences, s)
}

func (e *engine) touch(block uint64) {
	e.uses++
	e.cache[block] = e.uses
	if len(e.cache) <= cacheBlocks {
		return
	}
	oldest, at := block, e.uses
	for b, u := range e.cache {
		if u < at {
			oldest, at = b, u
		}
	}
	delete(e.cache, oldest)
}

// step advances the engine by one step and returns how long it takes. The
// tokens it gives are there at its end.
func (e *engine) step() (time.Duration, []*sequence) {
	took, chunk, decoded := stepBase, prefillChunk, 0
	var ended []*sequence
	kept := e.sequences[:0:0]
	for i, s := range e.sequences {
		if i >= slots {
			kept = append(kept, s)
			continue
		}
		if s.left > 0 && chunk > 0 {
			n := min(s.left, chunk)
			s.left -= n
			chunk -= n
			took += time.Duration(n) * prefillCost
			if s.left == 0 {
				for _, b := range s.request.prefix {
					e.touch(b)
				}
			}
		}
		if s.left == 0 {
			s.done++
			decoded++
		}
		if s.done >= s.request.output {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.sequences = kept
	return took + time.Duration(decoded)*decodeCost, ended
}

// prefill returns the prompt tokens still to be read.
func (e *engine) prefill() int {
	n := 0
	for _, s := range e.sequences {
		n += s.left
	}
	return n
}
