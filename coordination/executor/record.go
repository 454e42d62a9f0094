package executor

import (
	"context"
	"sync"
	"time"

	"radishspoke/protocol/wire"
)

// maxHeldBytes is the size in bytes above which a record drops the part of a
// service's answer that has been sent.
const maxHeldBytes = 1 << 20

// record is the state of one request, with the part of its answer that is kept.
type record struct {
	id         string
	idempotent bool
	generation bool // else a service call

	mu      sync.Mutex
	changed sync.Cond

	// attempts holds the newest attached attempt by entry. Nothing more is
	// sent to older attempts.
	attempts map[string]uint32
	attached int       // number of readers
	detached time.Time // when the last reader left

	head *wire.Head

	// base is the position of the first token or byte that is kept, and sent
	// the position of the first one that has not been sent. The answer of a
	// generation is in tokens, that of a service in data.
	base   uint64
	sent   uint64
	tokens []string
	data   []byte

	end      *wire.End
	failure  *wire.Failure
	finished time.Time
	cancel   func()
}

// newRecord returns a record whose answer starts at position base.
func newRecord(id string, idempotent, generation bool, base uint64) *record {
	r := &record{id: id, idempotent: idempotent, generation: generation, base: base, sent: base, attempts: map[string]uint32{}, cancel: func() {}}
	r.changed.L = &r.mu
	return r
}

// done reports whether the request has ended. The caller must hold r.mu.
func (r *record) done() bool { return r.end != nil || r.failure != nil }

// length returns the position after the last token or byte. The caller must hold
// r.mu.
func (r *record) length() uint64 {
	if r.generation {
		return r.base + uint64(len(r.tokens))
	}
	return r.base + uint64(len(r.data))
}

// setHead sets the head, which is sent to every reader first.
func (r *record) setHead(h *wire.Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = h
	r.changed.Broadcast()
}

// addTokens appends to the answer of a generation. All of its tokens are kept.
func (r *record) addTokens(t []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, t...)
	r.changed.Broadcast()
}

// addData appends to the answer of a service. If the record then holds more than
// maxHeldBytes, it drops the oldest bytes that have been sent. If none have been
// sent, it first waits for a reader. It returns the error of ctx if ctx ends
// during the wait; wake must be called when ctx ends.
func (r *record) addData(ctx context.Context, b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.data)+len(b) > maxHeldBytes && r.sent == r.base && !r.done() {
		if err := ctx.Err(); err != nil {
			return err
		}
		r.changed.Wait()
	}
	if excess := len(r.data) + len(b) - maxHeldBytes; excess > 0 {
		n := min(excess, int(r.sent-r.base))
		r.data = append(r.data[:0], r.data[n:]...)
		r.base += uint64(n)
	}
	r.data = append(r.data, b...)
	r.changed.Broadcast()
	return nil
}

// wake makes addData check whether its context has ended.
func (r *record) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed.Broadcast()
}

// finish ends the request with an end or a failure, unless it has ended. It
// reports whether it did.
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

// attach adds a reader, to which the answer is sent from offset on, and records
// attempt as the newest attempt of the entry. It fails if a newer attempt is
// attached or if the answer is not kept from offset on.
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

// detach removes a reader.
func (r *record) detach(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached--
	r.detached = now
}

// cursor is the position of one reader in a record.
type cursor struct {
	record   *record
	entry    string
	attempt  uint32
	position uint64
	headSent bool
	closed   bool // the reader has left; guarded by record.mu
	frame    wire.Frame
}

// stop records that the reader has left, so that next returns nil.
func (c *cursor) stop() {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.closed = true
	c.record.changed.Broadcast()
}

// next waits for more of the answer and returns it as a frame that is valid until
// the next call. It returns nil if the reader has left or its entry has attached
// with a newer attempt.
func (c *cursor) next() *wire.Frame {
	r := c.record
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if c.closed || r.attempts[c.entry] != c.attempt {
			return nil
		}
		if f := c.fillFrame(); f != nil {
			return f
		}
		r.changed.Wait()
	}
}

// fillFrame returns a frame with the part of the answer after the cursor's
// position, or nil if there is nothing to send yet. The caller must hold
// c.record.mu.
func (c *cursor) fillFrame() *wire.Frame {
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
