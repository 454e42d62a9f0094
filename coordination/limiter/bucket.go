package limiter

import (
	"math"
	"time"

	"radishspoke/internal/disabler"
)

// Bucket is a token bucket with refunds. After a refund, its level is at most the
// level that it would have if the refunded amount had never been granted. Bucket
// does no I/O and reads no clock. Create one with NewBucket.
//
// Bucket stores the deficit, which is the size of the bucket less its level.
// The deficit equals the backlog of a queue served at the rate of the bucket.
// Removing an earlier arrival of size r from such a queue reduces the present
// backlog by r or by the smallest backlog since that arrival, whichever is
// smaller (Lindley's recursion).
type Bucket struct {
	rate    float64 // tokens per second
	size    float64 // tokens
	deficit float64 // tokens
	updated time.Duration
	open    []openGrant // ordered by id
	lastID  uint64
}

// openGrant is a grant that can still be refunded.
type openGrant struct {
	id         uint64
	refundable float64 // tokens
	minDeficit float64 // smallest deficit since the grant, in tokens
}

// maxOpenGrants is the number of grants that can still be refunded. When it is
// exceeded, the oldest grant is removed.
const maxOpenGrants = 4096

// NewBucket returns an empty bucket for a team with the given rate in tokens
// per second and burst in tokens. Grants from the bucket must expire after
// validity.
func NewBucket(now time.Duration, rate, burst float64, validity time.Duration) *Bucket {
	b := &Bucket{rate: rate, size: bucketSize(rate, burst, validity), updated: now}
	b.deficit = b.size
	return b
}

func bucketSize(rate, burst float64, validity time.Duration) float64 {
	return max(0, burst-rate*validity.Seconds())
}

// Size returns the largest amount in tokens that can be granted at once.
func (b *Bucket) Size() float64 { return b.size }

// Level returns the amount in tokens that can be granted at now.
func (b *Bucket) Level(now time.Duration) float64 {
	b.advance(now)
	return b.size - b.deficit
}

// Grant takes amount from the bucket and returns the ID of the grant. It panics
// if amount exceeds the level.
func (b *Bucket) Grant(now time.Duration, amount float64) uint64 {
	b.advance(now)
	if amount > b.size-b.deficit+grantTolerance {
		panic("limiter: grant exceeds the level of the bucket")
	}
	b.updateMinDeficits()
	b.deficit += amount
	b.lastID++
	b.open = append(b.open, openGrant{id: b.lastID, refundable: amount, minDeficit: math.Inf(1)})
	if len(b.open) > maxOpenGrants {
		b.open = append(b.open[:0], b.open[1:]...)
	}
	return b.lastID
}

const grantTolerance = 1e-9 // tokens, for rounding errors

// Refund returns an unused amount of the grant id to the bucket. It has no
// effect if the grant can no longer be refunded.
func (b *Bucket) Refund(now time.Duration, id uint64, amount float64) {
	b.advance(now)
	b.updateMinDeficits()
	i := b.find(id)
	if i < 0 || amount <= 0 {
		return
	}
	g := &b.open[i]
	amount = min(amount, g.refundable)
	g.refundable -= amount
	reduction := min(amount, g.minDeficit, b.deficit)
	if disabler.Disabled(disabler.RefundLimit) {
		reduction = amount
	}
	b.deficit -= max(0, reduction)
	for j := range b.open {
		b.open[j].minDeficit = max(0, b.open[j].minDeficit-amount)
	}
	if g.refundable == 0 {
		b.open = append(b.open[:i], b.open[i+1:]...)
	}
}

// WaitTime returns the time until the level reaches amount if nothing else is
// granted.
func (b *Bucket) WaitTime(now time.Duration, amount float64) time.Duration {
	missing := amount - b.Level(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// SetRate changes the rate and the burst. The level is kept, up to the new
// size. Grants issued before the change can no longer be refunded.
func (b *Bucket) SetRate(now time.Duration, rate, burst float64, validity time.Duration) {
	level := b.Level(now)
	b.rate, b.size = rate, bucketSize(rate, burst, validity)
	b.deficit = b.size - min(level, b.size)
	b.open = nil
}

// advance reduces the deficit at the rate of the bucket up to now.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.deficit = max(0, b.deficit-b.rate*(now-b.updated).Seconds())
	b.updated = now
}

// updateMinDeficits lowers the minimum deficits of open grants to the present
// deficit. It must run before the deficit grows, when it is at a local minimum.
// The minimum of an older grant never exceeds that of a newer one, so the loop
// stops at the first grant that needs no update.
func (b *Bucket) updateMinDeficits() {
	for i := len(b.open) - 1; i >= 0 && b.open[i].minDeficit > b.deficit; i-- {
		b.open[i].minDeficit = b.deficit
	}
}

// find returns the index of an open grant, or -1 if there is none with that ID.
func (b *Bucket) find(id uint64) int {
	lo, hi := 0, len(b.open)
	for lo < hi {
		mid := (lo + hi) / 2
		if b.open[mid].id < id {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(b.open) && b.open[lo].id == id {
		return lo
	}
	return -1
}
