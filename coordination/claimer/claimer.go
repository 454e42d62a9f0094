package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
)

// Prefix starts the keys of claim rows.
const Prefix = "claim/"

// MaxAge is how old a claim may be for its request still to be asked for. It
// must be shorter than the time for which sidecars remember requests, by more
// than the hosts' clocks differ.
const MaxAge = 10 * time.Minute

// Errors of Claim.
var (
	// ErrReused says that the key was used for another request before.
	ErrReused = errors.New("idempotency key was used for another request")

	// ErrOld says that the key was used too long ago for its outcome to be
	// known.
	ErrOld = errors.New("idempotency key was used before, and its outcome is no longer known")
)

// Row is the content of a claim row.
type Row struct {
	Request     string    `json:"request"`
	Target      string    `json:"target"`
	Incarnation uint64    `json:"incarnation"`
	Fingerprint string    `json:"fingerprint"`
	Time        time.Time `json:"time"`
}

// Held is a claim row and its version; the zero value means none is known.
type Held struct {
	Row
	Version int64
}

// Claimer writes claims. Make it with New.
type Claimer struct{ table radishspoke.Table }

// New returns a Claimer.
func New(t radishspoke.Table) *Claimer { return &Claimer{table: t} }

// Claim writes r for a key over the row known before. It returns the row that
// stands, and whether that is r. If the error wraps
// radishspoke.ErrUnavailable it is not known which stands; nothing must be
// run then.
func (c *Claimer) Claim(ctx context.Context, key string, r Row, before Held) (Held, bool, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return Held{}, false, fmt.Errorf("encode claim: %w", err)
	}
	err = c.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: Prefix + key, Value: b, Version: before.Version})
	if err == nil {
		return Held{Row: r, Version: before.Version + 1}, true, nil
	}
	if !errors.Is(err, radishspoke.ErrConflict) {
		return Held{}, false, fmt.Errorf("claim: %w", err)
	}
	h, err := c.read(ctx, key)
	if err != nil {
		return Held{}, false, err
	}
	switch {
	case h.Fingerprint != r.Fingerprint:
		return h, false, ErrReused
	case r.Time.Sub(h.Time) > MaxAge:
		return h, false, ErrOld
	}
	return h, false, nil
}

func (c *Claimer) read(ctx context.Context, key string) (Held, error) {
	row, err := c.table.Read(ctx, Prefix+key)
	if err != nil {
		return Held{}, fmt.Errorf("read claim: %w", err)
	}
	h := Held{Version: row.Version}
	if err := json.Unmarshal(row.Value, &h.Row); err != nil {
		return Held{}, fmt.Errorf("decode claim: %w", err)
	}
	return h, nil
}
