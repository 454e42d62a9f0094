package limiter

import (
	"math"
	"time"

	"radishspoke/internal/breaker"
)

// Bucket is a token bucket that takes refunds without ever allowing more than
// it would have if the refunded amount had never been granted. It is a pure
// core. Make it with NewBucket.
//
// It works on the deficit, the size of the bucket less its level, which is
// the backlog of a queue served at the rate. Taking an arrival r out of such
// a queue's past lowers today's backlog by r or by the least backlog since
// then, whichever is smaller (Lindley's recursion).
type Bucket struct {
	rate    float64 // tokens per second
	size    float64 // tokens
	deficit float64
	at      time.Duration
	open    []openGrant
	next    uint64
}

// openGrant is a grant of which a part may come back.
type openGrant struct {
	id    uint64
	left  float64
	least float64 // least deficit since the grant
}

const maxOpen = 4096 // grants; older ones can't be refunded

// NewBucket returns an empty bucket for a team of that rate and burst, whose
// grants are valid for validity.
func NewBucket(now time.Duration, rate, burst float64, validity time.Duration) *Bucket {
	b := &Bucket{rate: rate, size: sizeOf(rate, burst, validity), at: now}
	b.deficit = b.size
	return b
}

func sizeOf(rate, burst float64, validity time.Duration) float64 {
	return max(0, burst-rate*validity.Seconds())
}

// Size returns the most that can be granted at once.
func (b *Bucket) Size() float64 { return b.size }

// Level returns what can be granted now.
func (b *Bucket) Level(now time.Duration) float64 {
	b.advance(now)
	return b.size - b.deficit
}

// Grant takes amount out and returns the grant's number. It panics if the
// level is lower.
func (b *Bucket) Grant(now time.Duration, amount float64) uint64 {
	b.advance(now)
	if amount > b.size-b.deficit+slack {
		panic("limiter: grant above the level")
	}
	b.noteLeast()
	b.deficit += amount
	b.next++
	b.open = append(b.open, openGrant{id: b.next, left: amount, least: math.Inf(1)})
	if len(b.open) > maxOpen {
		b.open = append(b.open[:0], b.open[1:]...)
	}
	return b.next
}

const slack = 1e-9 // tokens lost to rounding

// Refund takes back a part of a grant that was not used.
func (b *Bucket) Refund(now time.Duration, id uint64, amount float64) {
	b.advance(now)
	b.noteLeast()
	i := b.find(id)
	if i < 0 || amount <= 0 {
		return
	}
	g := &b.open[i]
	amount = min(amount, g.left)
	g.left -= amount
	back := min(amount, g.least, b.deficit)
	if breaker.Is(breaker.Refunds) {
		back = amount
	}
	b.deficit -= max(0, back)
	for j := range b.open {
		b.open[j].least = max(0, b.open[j].least-amount)
	}
	if g.left == 0 {
		b.open = append(b.open[:i], b.open[i+1:]...)
	}
}

// Wait returns how long it takes until the level reaches amount.
func (b *Bucket) Wait(now time.Duration, amount float64) time.Duration {
	missing := amount - b.Level(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// SetRate changes the rate and burst. The level stays, up to the new size.
// Grants that are out can no longer be refunded.
func (b *Bucket) SetRate(now time.Duration, rate, burst float64, validity time.Duration) {
	level := b.Level(now)
	b.rate, b.size = rate, sizeOf(rate, burst, validity)
	b.deficit = b.size - min(level, b.size)
	b.open = nil
}

func (b *Bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	b.deficit = max(0, b.deficit-b.rate*(now-b.at).Seconds())
	b.at = now
}

// noteLeast records the deficit, which is at its lowest just before it grows.
// Older grants never have a greater least than newer ones.
func (b *Bucket) noteLeast() {
	for i := len(b.open) - 1; i >= 0 && b.open[i].least > b.deficit; i-- {
		b.open[i].least = b.deficit
	}
}

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
