package fake

import (
	"sort"
	"time"
)

// run executes steps until the engine is closed, and waits while there is nothing
// to do.
func (e *Engine) run() {
	defer close(e.done)
	for {
		e.mu.Lock()
		duration := e.step()
		e.mu.Unlock()
		if duration > 0 {
			if !e.sleep(duration) {
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

// sleep sleeps for d. It returns false if the engine is closed before d has passed.
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

// step executes one step for the sequences in the batch, which are the first Slots
// ones by priority, then by arrival. It prefills up to prefillChunk tokens in total,
// and decodes a token for each sequence that is completely prefilled. It returns the
// duration of the step, 0 if there was nothing to do. The engine must be locked.
func (e *Engine) step() time.Duration {
	e.removeFinished()
	if len(e.sequences) == 0 {
		e.recordLoad()
		return 0
	}
	sort.SliceStable(e.sequences, func(i, j int) bool {
		a, b := e.sequences[i], e.sequences[j]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		return a.arrival < b.arrival
	})
	duration := e.settings.StepBase
	chunk, decoded := prefillChunk, 0
	for i, q := range e.sequences {
		if i >= e.settings.Slots {
			break
		}
		if q.prefillTokens > 0 && chunk > 0 {
			n := min(q.prefillTokens, chunk)
			q.prefillTokens -= n
			chunk -= n
			duration += time.Duration(n) * e.settings.PrefillCost
			if q.prefillTokens == 0 {
				e.cache.add(q.hashes)
			}
		}
		if q.prefillTokens == 0 && e.decode(q) {
			decoded++
		}
	}
	duration += time.Duration(decoded) * e.settings.DecodeCost
	e.recordLoad()
	return max(duration, time.Microsecond)
}

// decode decodes the next token of a sequence. It returns false if it decoded none,
// because the answer is complete or the token buffer is full. The engine must be
// locked.
func (e *Engine) decode(q *sequence) bool {
	if q.next >= q.length {
		return false
	}
	select {
	case q.out <- AnswerToken(q.model, q.prompt, q.next):
		q.next++
		e.counts.Tokens++
		return true
	default:
		return false
	}
}

// removeFinished removes the sequences that are complete or abandoned. The engine
// must be locked.
func (e *Engine) removeFinished() {
	kept := e.sequences[:0]
	for _, q := range e.sequences {
		select {
		case <-q.abandoned:
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

// recordLoad records the current load and drops the records that Load no longer
// needs. The engine must be locked.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loads = append(e.loads, timedLoad{at: now, load: e.load()})
	for len(e.loads) > 1 && e.loads[1].at.Before(now.Add(-e.settings.LoadLag)) {
		e.loads = e.loads[1:]
	}
}
