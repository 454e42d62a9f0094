package radishspoke

import (
	"context"
	"fmt"
)

// StorePosition is a position in the history of the platform's store.
type StorePosition struct {
	// Era is the number of times that the store has come back from an older copy.
	// Versions of an era may be given out again in the next one.
	Era     int64
	Version int64 // of the store, within its era
}

// versionBits is the number of bits of a position's number that hold the version. They
// suffice for 1,000 versions a second over 30 years, and leave room for 4 million eras.
const versionBits = 40

// MaxEra and MaxVersion bound the fields of a position whose number is unique.
const (
	MaxEra     = 1<<(62-versionBits) - 1
	MaxVersion = 1<<versionBits - 1
)

// Number returns a number that increases from each position to the next, over all eras.
// It is the version in the first era, which is 0. Leases and processes are numbered with
// it, as a number that was derived from a row alone can be given out twice.
func (p StorePosition) Number() int64 { return p.Era<<versionBits | min(p.Version, MaxVersion) }

// Absent returns the version that a conditional write expects of a row that does not exist
// in the era of the position.
func (p StorePosition) Absent() int64 { return StorePosition{Era: p.Era}.Number() }

// PositionOf returns the position with the given number.
func PositionOf(number int64) StorePosition {
	return StorePosition{Era: number >> versionBits, Version: number & MaxVersion}
}

// History is what a process knows of the history of the platform's store.
type History struct {
	// Position is the newest position that a response had.
	Position StorePosition

	// Ended is closed when a response has a newer era than that of Position. It is nil
	// for a store that never comes back from an older copy.
	Ended <-chan struct{}
}

// ListAt lists the rows whose keys start with prefix, and returns them with a position of the
// store in the same era that is at least that of the read. A row that is not in the list has
// the version StorePosition.Absent. The error wraps ErrUnavailable.
func ListAt(ctx context.Context, t Table, prefix string) ([]Row, StorePosition, error) {
	for range 2 { // the first read of a process may tell it that the store is in a later era
		before := t.History().Position
		rows, err := t.List(ctx, prefix)
		if err != nil {
			return nil, StorePosition{}, fmt.Errorf("list rows %s: %w", prefix, err)
		}
		if at := t.History().Position; at.Era == before.Era {
			return rows, at, nil
		}
	}
	return nil, StorePosition{}, fmt.Errorf("list rows %s: the era of the store ends: %w", prefix, ErrUnavailable)
}
