package limiter

import (
	"sync"
	"time"

	"radishspoke"
	"radishspoke/protocol/wire"
)

// Validity is how long a grant may be spent.
const Validity = 500 * time.Millisecond

// Tenure tells under which epoch this process owns a team's budget, since
// when, and whether it does at this moment.
type Tenure func(team string) (epoch int64, since time.Duration, ok bool)

// Owner keeps the buckets of the teams whose budgets this process owns. Make
// it with NewOwner.
type Owner struct {
	clock  radishspoke.Clock
	tenure Tenure
	teams  func(name string) (radishspoke.Team, bool)

	mu      sync.Mutex
	buckets map[string]*ownedBucket
}

// ownedBucket is a bucket under one epoch. Head is the process that waits for
// the level to reach its need; others leave as much to it.
type ownedBucket struct {
	*Bucket
	epoch       int64
	rate, burst float64
	head        string
	need        float64
	headUntil   time.Duration
}

const headTime = 2 * time.Second // how long a waiting process keeps its turn

// NewOwner returns an Owner without buckets.
func NewOwner(c radishspoke.Clock, t Tenure, teams func(string) (radishspoke.Team, bool)) *Owner {
	return &Owner{clock: c, tenure: t, teams: teams, buckets: map[string]*ownedBucket{}}
}

// Handle answers one request for budget.
func (o *Owner) Handle(q *wire.Budget) *wire.BudgetReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	epoch, since, ok := o.tenure(q.Team)
	if !ok {
		delete(o.buckets, q.Team)
		return &wire.BudgetReply{}
	}
	team, ok := o.teams(q.Team)
	if !ok {
		return &wire.BudgetReply{Owner: true, Epoch: epoch, RetryMs: headTime.Milliseconds()}
	}
	b := o.bucket(now, team, epoch, since)
	for _, f := range q.Refunds {
		if f.Epoch == epoch {
			b.Refund(now, f.Grant, f.Amount)
		}
	}
	return b.answer(now, q)
}

// bucket returns the team's bucket, which was empty when the epoch began.
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

func (b *ownedBucket) answer(now time.Duration, q *wire.Budget) *wire.BudgetReply {
	r := &wire.BudgetReply{Owner: true, Epoch: b.epoch, ValidMs: Validity.Milliseconds(), Most: b.Size()}
	if q.Need <= 0 && q.Want <= 0 {
		return r
	}
	if now >= b.headUntil {
		b.head = ""
	}
	level := b.Level(now)
	free := level
	if b.head != "" && b.head != q.Process {
		free = max(0, level-b.need)
	}
	if free < q.Need {
		b.takeTurn(now, q)
		r.RetryMs = max(1, b.Wait(now, q.Need+level-free).Milliseconds())
		return r
	}
	if b.head == q.Process {
		b.head = ""
	}
	r.Amount = max(q.Need, min(q.Want, free))
	r.Grant = b.Grant(now, r.Amount)
	return r
}

// takeTurn makes the asking process the one that others leave room for.
func (b *ownedBucket) takeTurn(now time.Duration, q *wire.Budget) {
	if b.head != "" && b.head != q.Process || q.Need > b.Size() {
		return
	}
	b.head, b.need = q.Process, q.Need
	b.headUntil = now + b.Wait(now, q.Need) + headTime
}
