package executor

import (
	"context"
	"sync"
	"time"

	"radishspoke/protocol/wire"
)

const maxHeld = 1 << 20 // bytes of a service's answer that are held

// record is one request and as much of its answer as is held.
type record struct {
	id         string
	idempotent bool
	generation bool

	mu      sync.Mutex
	changed sync.Cond

	// attempts holds the newest one attached of each entry; older ones stop
	// sending.
	attempts map[string]uint32
	attached int
	detached time.Time // when the last reader left

	head *wire.Head

	// base is the position of the first held token or byte, sent that of
	// the first one not yet sent.
	base   uint64
	sent   uint64
	tokens []string
	data   []byte

	end      *wire.End
	failure  *wire.Failure
	finished time.Time
	cancel   func()
}

func newRecord(id string, idempotent, generation bool, base uint64) *record {
	r := &record{id: id, idempotent: idempotent, generation: generation, base: base, sent: base, attempts: map[string]uint32{}, cancel: func() {}}
	r.changed.L = &r.mu
	return r
}

func (r *record) done() bool { return r.end != nil || r.failure != nil }

// length returns the position after the last held token or byte.
func (r *record) length() uint64 {
	if r.generation {
		return r.base + uint64(len(r.tokens))
	}
	return r.base + uint64(len(r.data))
}

func (r *record) setHead(h *wire.Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = h
	r.changed.Broadcast()
}

func (r *record) addTokens(t []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, t...)
	r.changed.Broadcast()
}

// addData appends to the answer. While maxHeld bytes are held it lets go of
// those already sent, and waits for a reader if there are none. It returns
// the error of ctx if that ends first; wake must be called then.
func (r *record) addData(ctx context.Context, b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.data)+len(b) > maxHeld && r.sent == r.base && !r.done() {
		if err := ctx.Err(); err != nil {
			return err
		}
		r.changed.Wait()
	}
	if over := len(r.data) + len(b) - maxHeld; over > 0 {
		n := min(over, int(r.sent-r.base))
		r.data = append(r.data[:0], r.data[n:]...)
		r.base += uint64(n)
	}
	r.data = append(r.data, b...)
	r.changed.Broadcast()
	return nil
}

func (r *record) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed.Broadcast()
}

// finish closes the record once; it tells whether it was open.
func (r *record) finish(end *wire.End, failure *wire.Failure, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done() {
		return false
	}
	if end != nil {
		end.Length = r.length()
	}
	r.end, r.failure, r.finished = end, failure, now
	r.changed.Broadcast()
	return true
}

// attach makes attempt the one of its entry that is sent to. It fails if a
// newer one is attached or the answer is not held from offset on.
func (r *record) attach(entry string, attempt uint32, offset uint64) *wire.Failure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt < r.attempts[entry] {
		return &wire.Failure{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "a newer attempt is attached"}
	}
	if offset < r.base || offset > r.length() {
		outcome := wire.Outcome_OUTCOME_UNKNOWN
		if r.end != nil {
			outcome = wire.Outcome_OUTCOME_RUN
		}
		return &wire.Failure{Outcome: outcome, Reason: "the answer is no longer held from that offset", Elsewhere: r.idempotent}
	}
	r.attempts[entry] = attempt
	r.attached++
	r.sent = max(offset, r.base)
	r.changed.Broadcast()
	return nil
}

func (r *record) detach(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached--
	r.detached = now
}

// cursor is one reader's place in a record.
type cursor struct {
	record   *record
	entry    string
	attempt  uint32
	position uint64
	headSent bool
	gone     bool // set under record.mu when the reader has left
	frame    wire.Frame
}

func (c *cursor) leave() {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.gone = true
	c.record.changed.Broadcast()
}

// next waits for more of the answer and returns it as a frame, which is valid
// until the next call. It returns nil when the reader is to stop.
func (c *cursor) next() *wire.Frame {
	r := c.record
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if c.gone || r.attempts[c.entry] != c.attempt {
			return nil
		}
		if f := c.fill(); f != nil {
			return f
		}
		r.changed.Wait()
	}
}

// fill makes a frame of what there is past the cursor, or returns nil.
func (c *cursor) fill() *wire.Frame {
	r, f := c.record, &c.frame
	if c.position < r.base {
		f.Failure = &wire.Failure{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: "the answer is no longer held from that offset"}
		return f
	}
	f.RequestId, f.Attempt, f.Offset = r.id, c.attempt, c.position
	f.Head, f.Tokens, f.Data, f.End, f.Failure = nil, nil, nil, nil, nil
	if r.head != nil && !c.headSent {
		f.Head, c.headSent = r.head, true
	}
	from := c.position - r.base
	if r.generation {
		f.Tokens = r.tokens[from:]
	} else {
		f.Data = append([]byte(nil), r.data[from:]...)
	}
	c.position = r.length()
	r.sent = c.position
	f.End, f.Failure = r.end, r.failure
	if f.Head == nil && len(f.Tokens) == 0 && len(f.Data) == 0 && !r.done() {
		return nil
	}
	if len(f.Data) > 0 {
		r.changed.Broadcast()
	}
	return f
}
