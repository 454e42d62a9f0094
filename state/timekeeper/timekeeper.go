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

const rowKey = "clock"

// row is the value of the row rowKey.
type row struct {
	// Zero is the time of day at the zero of the store's clock, in Unix
	// milliseconds.
	Zero int64 `json:"zero"`
}

// maxReadingAge is the age up to which a reading of the store's clock is preferred
// to a newer reading with a larger error.
const maxReadingAge = time.Minute

// Timekeeper provides the time of day. Use New to create one.
type Timekeeper struct {
	table radishspoke.Table
	clock radishspoke.Clock

	mu       sync.Mutex
	observed bool          // offset is known
	offset   time.Duration // store's clock minus this process's clock
	maxError time.Duration // of offset
	readAt   time.Duration // when offset was determined, on this process's clock
	zero     time.Time     // time of day at the zero of the store's clock
	missing  time.Duration // when the row was first found missing in an era after the first, or 0
}

// restoreTime is how long a process that does not know the zero leaves it to others to write
// a row again that the store has lost.
const restoreTime = 3 * time.Second

// New returns a Timekeeper that does not know the time of day yet. It needs a
// reading from Observe and a successful call of SyncZero.
func New(t radishspoke.Table, c radishspoke.Clock) *Timekeeper {
	return &Timekeeper{table: t, clock: c}
}

// Observe records store, a reading of the store's clock from the response to a
// call. The arguments sent and received are the times of the request and of the
// response on this process's clock.
func (t *Timekeeper) Observe(sent, received, store time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maxError := (received - sent) / 2
	if t.observed && maxError > t.maxError && received-t.readAt < maxReadingAge {
		return
	}
	t.observed, t.offset, t.maxError, t.readAt = true, store-(sent+maxError), maxError, received
}

// Now returns the time of day, and whether it is known.
func (t *Timekeeper) Now() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.observed || t.zero.IsZero() {
		return time.Time{}, false
	}
	return t.zero.Add(t.clock.Now() + t.offset), true
}

// StoreTime returns the time on the store's clock, and whether it is known.
func (t *Timekeeper) StoreTime() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now() + t.offset, t.observed
}

// SyncZero reads the time of day at the zero of the store's clock. If no
// process has written it yet, SyncZero derives it from this host's time of day,
// writes it and returns an error. It writes nothing before the first call of
// Observe. It must be called until it returns nil, and again in each era of the store,
// which may have lost the row: a process that knows the zero then writes it again.
func (t *Timekeeper) SyncZero(ctx context.Context) error {
	r, err := t.table.Read(ctx, rowKey)
	if errors.Is(err, radishspoke.ErrNotFound) {
		return t.writeZero(ctx, r)
	}
	if err != nil {
		return fmt.Errorf("read zero of the store's clock: %w", err)
	}
	var content row
	if err := json.Unmarshal(r.Value, &content); err != nil {
		return fmt.Errorf("decode zero of the store's clock: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zero = time.UnixMilli(content.Zero)
	return nil
}

// errReread reports that the row has to be read again.
var errReread = errors.New("zero of the store's clock has to be read again")

// writeZero writes the row on condition that there is none yet, where r is the missing row.
// It always returns an error, as the row is used only once it has been read.
func (t *Timekeeper) writeZero(ctx context.Context, r radishspoke.Row) error {
	zero, ok := t.nextZero(r.Outdated)
	if !ok {
		return errReread
	}
	data, err := json.Marshal(row{Zero: zero.UnixMilli()})
	if err != nil {
		return fmt.Errorf("encode zero of the store's clock: %w", err)
	}
	if err := t.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: rowKey, Value: data, Version: r.Version}); err != nil {
		return fmt.Errorf("write zero of the store's clock: %w", err)
	}
	return errReread
}

// nextZero returns the zero that this process writes, and whether it should write one. The
// parameter lost is set if the store may have lost the row.
func (t *Timekeeper) nextZero(lost bool) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	switch {
	case !t.zero.IsZero():
		return t.zero, true
	case !t.observed:
		return time.Time{}, false
	case lost && t.missing == 0:
		t.missing = now
		return time.Time{}, false
	case lost && now-t.missing < restoreTime:
		return time.Time{}, false
	}
	return time.Now().Add(-now - t.offset), true
}
