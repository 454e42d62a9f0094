package admitter

import (
	"cmp"
	"math"
	"time"
)

const (
	maxRank = 255

	// leastWork is the work, in seconds of one target, up to which requests are in the first
	// bucket. Each further bucket has twice the work.
	leastWork  = 1e-3
	maxBuckets = 32
)

// Class is a set of requests of a group that are worth the same for their work.
type Class struct {
	TeamRank, RouteRank int // lower ranks go first
	Bucket              int // power of two of the work
}

// compare returns a negative number if requests of c go before those of o.
func (c Class) compare(o Class) int {
	return cmp.Or(
		cmp.Compare(c.TeamRank, o.TeamRank), cmp.Compare(c.RouteRank, o.RouteRank),
		cmp.Compare(c.Bucket, o.Bucket),
	)
}

// Encode returns the class as a number, for messages between processes.
func (c Class) Encode() uint32 {
	return uint32(c.TeamRank)<<16 | uint32(c.RouteRank)<<8 | uint32(c.Bucket)
}

// DecodeClass is the inverse of Encode. It returns false if no class has the number.
func DecodeClass(n uint32) (Class, bool) {
	c := Class{TeamRank: int(n >> 16 & maxRank), RouteRank: int(n >> 8 & maxRank), Bucket: int(n & (maxBuckets - 1))}
	return c, c.Encode() == n
}

// Work is what a request takes of the targets of its group.
type Work struct {
	Prefill time.Duration // of a prefill engine
	Slot    time.Duration // of one slot of the target that answers
}

// Bucket returns the power of two of the work, in seconds of one target, by the resource of
// which the request takes more. A target has the given number of slots.
func (w Work) Bucket(slots float64) int {
	work := max(w.Prefill.Seconds(), w.Slot.Seconds()/max(1, slots))
	if work <= leastWork {
		return 0
	}
	return min(maxBuckets-1, int(math.Ceil(math.Log2(work/leastWork))))
}

// Order returns the ranks of team and route as one rank of waiting prompts.
func Order(teamRank, routeRank int) int {
	return clampRank(teamRank)<<8 | clampRank(routeRank)
}

func clampRank(r int) int { return min(maxRank, max(0, r)) }
