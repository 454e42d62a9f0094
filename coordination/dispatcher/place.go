package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/router"
	"radishspoke/coordination/scheduler"
)

// place waits for the request's turn and for a target with room. The target
// is counted as sent to.
func (d *Dispatcher) place(ctx context.Context, j *job) (router.Choice, error) {
	if err := d.enqueue(j); err != nil {
		return router.Choice{}, err
	}
	patience := time.NewTimer(d.settings.Patience)
	defer patience.Stop()
	for {
		select {
		case p := <-j.placed:
			if p.failure != nil {
				return router.Choice{}, p.failure
			}
			return p.choice, nil
		case <-ctx.Done():
			return router.Choice{}, d.unplace(j, ctx.Err())
		case <-patience.C:
			if d.hopeless(j) {
				return router.Choice{}, d.unplace(j, &radishspoke.Failure{
					Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "no_target",
					Message: fmt.Sprintf("no target of %s can be reached", j.work.Pool), RetryAfter: d.settings.Patience,
				})
			}
			patience.Reset(d.settings.Patience)
		}
	}
}

func (d *Dispatcher) enqueue(j *job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.router.Has(j.work.Pool) {
		return &radishspoke.Failure{
			Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "no_target",
			Message: fmt.Sprintf("there is no target of %s", j.work.Pool),
		}
	}
	share := scheduler.Share{Weight: 1, Order: 1}
	if t, ok := d.teams[j.request.Team]; ok {
		share = scheduler.Share{Weight: t.Weight, Order: t.Order}
	}
	j.item = scheduler.Item[*job]{Team: j.request.Team, Pool: j.work.Pool, Cost: max(1, j.cost), Value: j}
	if err := d.queue.Push(&j.item, share); err != nil {
		return &radishspoke.Failure{
			Outcome: j.outcome(), Status: http.StatusTooManyRequests, Code: "queue_full",
			Message: fmt.Sprintf("team %s: %v", j.request.Team, err), RetryAfter: time.Second,
		}
	}
	d.placePool(j.work.Pool)
	return nil
}

// hopeless tells whether no target of the pool can be reached.
func (d *Dispatcher) hopeless(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := j.work
	w.Exclude = nil
	_, ok := d.router.Soonest(d.clock.Now(), w)
	return !ok
}

// unplace takes a request out of the queue. If it was placed in the meantime,
// its place is given back.
func (d *Dispatcher) unplace(j *job, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Remove(&j.item)
	select {
	case p := <-j.placed:
		if p.failure == nil {
			d.router.Began(d.clock.Now(), p.choice.Target.Name, j.work)
			d.router.Ended(d.clock.Now(), p.choice.Target.Name, false)
		}
	default:
	}
	var f *radishspoke.Failure
	if errors.As(err, &f) {
		return f
	}
	return fmt.Errorf("wait for a target: %w", err)
}

func (d *Dispatcher) placeAll() {
	for _, p := range d.queue.Pools() {
		d.placePool(p)
	}
}

// placePool gives waiting requests of a pool to targets with room. Requests
// that can't be answered before their deadline are refused instead.
func (d *Dispatcher) placePool(pool string) {
	now := d.clock.Now()
	for it := d.queue.Peek(pool); it != nil; it = d.queue.Peek(pool) {
		j := it.Value
		c, ok := d.pick(now, j)
		if !ok {
			return
		}
		d.queue.Pop(pool)
		if left := time.Until(j.request.Deadline); c.Expected > left {
			j.placed <- placement{failure: &radishspoke.Failure{
				Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "overloaded",
				Message:    fmt.Sprintf("the answer is expected to take %v, the deadline is in %v", c.Expected, left),
				RetryAfter: max(time.Second, c.Expected-left),
			}}
			continue
		}
		d.router.Sent(now, c.Target.Name, j.work)
		j.placed <- placement{choice: c}
	}
}

// pick chooses a target. When all that could be reached have failed the
// request, they may be tried again.
func (d *Dispatcher) pick(now time.Duration, j *job) (router.Choice, bool) {
	c, ok := d.router.Pick(now, j.work)
	if ok || len(j.work.Exclude) == 0 {
		return c, ok
	}
	if _, reachable := d.router.Soonest(now, j.work); reachable {
		return c, false
	}
	j.work.Exclude = nil
	return d.router.Pick(now, j.work)
}
