package radishspoke

import "context"

// Lease is a right of which one process at a time is the holder.
type Lease interface {
	// Holds returns whether this process holds the lease at this moment, and the epoch
	// of the lease, which increases with each acquisition.
	Holds() (epoch int64, ok bool)

	// Use calls f if this process holds the lease with the given epoch. The context of f ends
	// when the lease expires. If the error of f wraps ErrUnanswered, the lease is not handed
	// over while the call may still take effect.
	Use(ctx context.Context, epoch int64, f func(context.Context) error) error

	// Note returns the note of the newest holder, or an empty string if it is not known.
	Note() string

	// SetNote replaces the note if this process holds the lease with the given epoch. The
	// next holder gets it if the lease is released or renewed after that.
	SetNote(epoch int64, note string)
}
