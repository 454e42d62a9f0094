package timekeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
)

const key = "clock"

// content of the clock's row.
type content struct {
	// Zero is the time of day of the store clock's zero, in Unix ms.
	Zero int64 `json:"zero"`
}

// mostAge is how long a reading of the store's clock is preferred for having
// been quicker than a newer one.
const mostAge = time.Minute

// Timekeeper tells the time. Make it with New.
type Timekeeper struct {
	table radishspoke.Table
	clock radishspoke.Clock

	mu     sync.Mutex
	read   bool
	offset time.Duration // of the store's clock to this host's
	slack  time.Duration // by which offset may be wrong
	at     time.Duration // when it was read
	zero   time.Time
}

// New returns a Timekeeper that does not know the time yet.
func New(t radishspoke.Table, c radishspoke.Clock) *Timekeeper {
	return &Timekeeper{table: t, clock: c}
}

// Observe takes a reading of the store's clock from an answer to a call that
// was sent and answered at these moments.
func (t *Timekeeper) Observe(sent, answered, store time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slack := (answered - sent) / 2
	if t.read && slack > t.slack && answered-t.at < mostAge {
		return
	}
	t.read, t.offset, t.slack, t.at = true, store-(sent+slack), slack, answered
}

// Now returns the time of day, and whether it is known.
func (t *Timekeeper) Now() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.read || t.zero.IsZero() {
		return time.Time{}, false
	}
	return t.zero.Add(t.clock.Now() + t.offset), true
}

// Agree learns the zero of the store's clock, or writes it down as this host's
// time of day has it. It must be called until it returns nil.
func (t *Timekeeper) Agree(ctx context.Context) error {
	r, err := t.table.Read(ctx, key)
	if errors.Is(err, radishspoke.ErrNotFound) {
		return t.write(ctx)
	}
	if err != nil {
		return fmt.Errorf("read the clock's zero: %w", err)
	}
	var c content
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return fmt.Errorf("decode the clock's zero: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zero = time.UnixMilli(c.Zero)
	return nil
}

// errAgain says that the row must be read again.
var errAgain = errors.New("the clock's zero must be read again")

func (t *Timekeeper) write(ctx context.Context) error {
	t.mu.Lock()
	zero := time.Now().Add(-t.clock.Now() - t.offset)
	read := t.read
	t.mu.Unlock()
	if !read {
		return errAgain
	}
	data, err := json.Marshal(content{Zero: zero.UnixMilli()})
	if err != nil {
		return fmt.Errorf("encode the clock's zero: %w", err)
	}
	if err := t.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: key, Value: data}); err != nil {
		return fmt.Errorf("write the clock's zero: %w", err)
	}
	return errAgain
}
