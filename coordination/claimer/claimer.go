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

// Prefix is the prefix of the keys of claim rows.
const Prefix = "claim/"

// MaxAge is the largest age of a claim at which other requests may still attach
// to its request. Sidecars must keep requests for longer than MaxAge, by more
// than the difference between the clocks of hosts.
const MaxAge = 10 * time.Minute

// Errors returned by Claimer.Claim.
var (
	// ErrReused is returned if the key has been used for a different request.
	ErrReused = errors.New("idempotency key was used for another request")

	// ErrOld is returned if the claim on the key is older than MaxAge, so that
	// the outcome of its request may no longer be known.
	ErrOld = errors.New("idempotency key was used before, and its outcome is no longer known")
)

// Row is the content of a claim row: the ID of the request that was sent with the
// key, its target, the incarnation of the target's sidecar, the hash of the
// request, and the time of the claim by the clock of the entry's host.
type Row struct {
	Request     string    `json:"request"`
	Target      string    `json:"target"`
	Incarnation uint64    `json:"incarnation"`
	Fingerprint string    `json:"fingerprint"`
	Time        time.Time `json:"time"`
}

// VersionedRow is a claim row with its version. The zero value means that no
// row is known.
type VersionedRow struct {
	Row
	Version int64
}

// Claimer writes claims to the table. Create one with New.
type Claimer struct{ table radishspoke.Table }

// New returns a Claimer that writes to the given table.
func New(t radishspoke.Table) *Claimer { return &Claimer{table: t} }

// Claim writes r as the row of a key if the version of the stored row is still
// that of previous. It returns the row that is then stored, and whether that is
// r. The error is ErrReused if the stored row has another fingerprint than r, and
// ErrOld if it is older than r by more than MaxAge. If the error wraps
// radishspoke.ErrUnavailable, it is not known which row is stored, and the request
// must not be run.
func (c *Claimer) Claim(ctx context.Context, key string, r Row, previous VersionedRow) (VersionedRow, bool, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return VersionedRow{}, false, fmt.Errorf("encode claim: %w", err)
	}
	err = c.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: Prefix + key, Value: b, Version: previous.Version})
	if err == nil {
		return VersionedRow{Row: r, Version: previous.Version + 1}, true, nil
	}
	if !errors.Is(err, radishspoke.ErrConflict) {
		return VersionedRow{}, false, fmt.Errorf("claim: %w", err)
	}
	stored, err := c.read(ctx, key)
	if err != nil {
		return VersionedRow{}, false, err
	}
	switch {
	case stored.Fingerprint != r.Fingerprint:
		return stored, false, ErrReused
	case r.Time.Sub(stored.Time) > MaxAge:
		return stored, false, ErrOld
	}
	return stored, false, nil
}

func (c *Claimer) read(ctx context.Context, key string) (VersionedRow, error) {
	row, err := c.table.Read(ctx, Prefix+key)
	if err != nil {
		return VersionedRow{}, fmt.Errorf("read claim: %w", err)
	}
	stored := VersionedRow{Version: row.Version}
	if err := json.Unmarshal(row.Value, &stored.Row); err != nil {
		return VersionedRow{}, fmt.Errorf("decode claim: %w", err)
	}
	return stored, nil
}
