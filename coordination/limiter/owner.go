package limiter

import (
	"sync"
	"time"

	"radishspoke"
	"radishspoke/protocol/wire"
)

// Validity is the time for which a grant may be charged.
const Validity = 500 * time.Millisecond

// OwnershipFunc returns whether this process owns the budget of a team at this
// moment, and if so, the epoch and the start of its ownership.
type OwnershipFunc func(team string) (epoch int64, since time.Duration, ok bool)

// Owner keeps the buckets of the teams whose budgets this process owns. Create
// one with NewOwner.
type Owner struct {
	clock     radishspoke.Clock
	ownership OwnershipFunc
	teams     func(name string) (radishspoke.Team, bool)

	mu      sync.Mutex
	buckets map[string]*ownedBucket
}

// ownedBucket is the bucket of one team during one epoch of ownership. While
// the process reservedBy waits for the level to reach the amount reserved,
// other processes get only what exceeds that amount.
type ownedBucket struct {
	*Bucket
	epoch         int64
	rate, burst   float64
	reservedBy    string
	reserved      float64
	reservedUntil time.Duration
}

// reservationTimeout is the time for which a reservation lasts after the level
// should have reached the reserved amount. Retry times also derive from it.
const reservationTimeout = 2 * time.Second

// NewOwner returns an Owner without buckets. The function teams looks up the
// settings of a team by name.
func NewOwner(c radishspoke.Clock, ownership OwnershipFunc, teams func(string) (radishspoke.Team, bool)) *Owner {
	return &Owner{clock: c, ownership: ownership, teams: teams, buckets: map[string]*ownedBucket{}}
}

// Handle applies the refunds of a budget request and returns the reply to it.
// The reply is empty if this process does not own the budget of the team. If the
// team is unknown, the reply holds no grant, and reservationTimeout as the time
// after which to retry.
func (o *Owner) Handle(q *wire.Budget) *wire.BudgetReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	epoch, since, ok := o.ownership(q.Team)
	if !ok {
		delete(o.buckets, q.Team)
		return &wire.BudgetReply{}
	}
	team, ok := o.teams(q.Team)
	if !ok {
		return &wire.BudgetReply{Owner: true, Epoch: epoch, RetryMs: reservationTimeout.Milliseconds()}
	}
	b := o.bucket(now, team, epoch, since)
	for _, r := range q.Refunds {
		if r.Epoch == epoch {
			b.Refund(now, r.Grant, r.Amount)
		}
	}
	return b.reply(now, q)
}

// bucket returns the bucket of a team with its present rate and burst. A bucket
// is empty at the start of an epoch.
func (o *Owner) bucket(now time.Duration, t radishspoke.Team, epoch int64, since time.Duration) *ownedBucket {
	b, ok := o.buckets[t.Name]
	if !ok || b.epoch != epoch {
		b = &ownedBucket{Bucket: NewBucket(since, t.Rate, t.Burst, Validity), epoch: epoch, rate: t.Rate, burst: t.Burst}
		o.buckets[t.Name] = b
	}
	if b.rate != t.Rate || b.burst != t.Burst {
		b.SetRate(now, t.Rate, t.Burst, Validity)
		b.rate, b.burst = t.Rate, t.Burst
	}
	return b
}

// reply issues a grant of at least q.Need, or returns the time after which to
// retry.
func (b *ownedBucket) reply(now time.Duration, q *wire.Budget) *wire.BudgetReply {
	r := &wire.BudgetReply{Owner: true, Epoch: b.epoch, ValidMs: Validity.Milliseconds(), Most: b.Size()}
	if q.Need <= 0 && q.Want <= 0 {
		return r
	}
	if now >= b.reservedUntil {
		b.reservedBy = ""
	}
	level := b.Level(now)
	available := level
	if b.reservedBy != "" && b.reservedBy != q.Process {
		available = max(0, level-b.reserved)
	}
	if available < q.Need {
		b.reserve(now, q)
		r.RetryMs = max(1, b.WaitTime(now, q.Need+level-available).Milliseconds())
		return r
	}
	if b.reservedBy == q.Process {
		b.reservedBy = ""
	}
	r.Amount = max(q.Need, min(q.Want, available))
	r.Grant = b.Grant(now, r.Amount)
	return r
}

// reserve reserves the needed amount for the requesting process, unless another
// process has a reservation or the amount exceeds the size of the bucket.
func (b *ownedBucket) reserve(now time.Duration, q *wire.Budget) {
	if b.reservedBy != "" && b.reservedBy != q.Process || q.Need > b.Size() {
		return
	}
	b.reservedBy, b.reserved = q.Process, q.Need
	b.reservedUntil = now + b.WaitTime(now, q.Need) + reservationTimeout
}
