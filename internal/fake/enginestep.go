package fake

import (
	"sort"
	"time"
)

func (e *Engine) run() {
	defer close(e.done)
	for {
		e.mu.Lock()
		took := e.step()
		e.mu.Unlock()
		if took > 0 {
			if !e.sleep(took) {
				return
			}
			continue
		}
		select {
		case <-e.stop:
			return
		case <-e.wake:
		}
	}
}

func (e *Engine) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-e.stop:
		return false
	case <-t.C:
		return true
	}
}

// step reads a chunk of one prompt and gives every reading sequence a token.
// It returns how long the step takes, 0 if there was nothing to do.
func (e *Engine) step() time.Duration {
	e.drop()
	if len(e.sequences) == 0 {
		e.record()
		return 0
	}
	sort.SliceStable(e.sequences, func(i, j int) bool {
		a, b := e.sequences[i], e.sequences[j]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		return a.arrival < b.arrival
	})
	took := e.settings.StepBase
	chunk, decoded := prefillChunk, 0
	for i, q := range e.sequences {
		if i >= e.settings.Slots {
			break
		}
		if q.left > 0 && chunk > 0 {
			n := min(q.left, chunk)
			q.left -= n
			chunk -= n
			took += time.Duration(n) * e.settings.PrefillCost
			if q.left == 0 {
				e.cache.add(q.hashes)
			}
		}
		if q.left == 0 && e.emit(q) {
			decoded++
		}
	}
	took += time.Duration(decoded) * e.settings.DecodeCost
	e.record()
	return max(took, time.Microsecond)
}

// emit sends the next token of a sequence, unless its reader is behind.
func (e *Engine) emit(q *sequence) bool {
	if q.next >= q.length {
		return false
	}
	select {
	case q.out <- Token(q.model, q.prompt, q.next):
		q.next++
		e.counts.Tokens++
		return true
	default:
		return false
	}
}

// drop removes sequences that are whole or that nobody reads.
func (e *Engine) drop() {
	kept := e.sequences[:0]
	for _, q := range e.sequences {
		select {
		case <-q.gone:
			close(q.out)
			continue
		default:
		}
		if q.next >= q.length {
			close(q.out)
			continue
		}
		kept = append(kept, q)
	}
	clear(e.sequences[len(kept):])
	e.sequences = kept
}

// record notes the load, for reports that lag.
func (e *Engine) record() {
	now := time.Now()
	e.loads = append(e.loads, timedLoad{at: now, load: e.load()})
	for len(e.loads) > 1 && e.loads[1].at.Before(now.Add(-e.settings.LoadLag)) {
		e.loads = e.loads[1:]
	}
}
