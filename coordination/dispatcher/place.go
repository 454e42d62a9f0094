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

// place waits in the queue until a target with spare capacity is chosen for the
// request. The router counts the request at that target from then on.
func (d *Dispatcher) place(ctx context.Context, j *job) (router.Choice, error) {
	if err := d.enqueue(j); err != nil {
		return router.Choice{}, err
	}
	timer := time.NewTimer(d.settings.UnreachableTimeout)
	defer timer.Stop()
	for {
		select {
		case p := <-j.placed:
			if p.failure != nil {
				return router.Choice{}, p.failure
			}
			return p.choice, nil
		case <-ctx.Done():
			return router.Choice{}, d.cancelPlacement(j, ctx.Err())
		case <-timer.C:
			if d.unreachable(j) {
				return router.Choice{}, d.cancelPlacement(j, &radishspoke.Failure{
					Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "no_target",
					Message: fmt.Sprintf("no target of %s can be reached", j.work.Pool), RetryAfter: d.settings.UnreachableTimeout,
				})
			}
			timer.Reset(d.settings.UnreachableTimeout)
		}
	}
}

// enqueue adds the request to the queue and places the requests of its pool that
// fit at a target. It fails if the pool has no targets or the team's queue is full.
func (d *Dispatcher) enqueue(j *job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.router.HasPool(j.work.Pool) {
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

// unreachable reports whether no target of the request's pool can be reached.
func (d *Dispatcher) unreachable(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := j.work
	w.Exclude = nil
	_, ok := d.router.Fastest(d.clock.Now(), w)
	return !ok
}

// cancelPlacement removes a request from the queue and returns the error of the
// wait. If a target was chosen in the meantime, the request no longer counts
// there.
func (d *Dispatcher) cancelPlacement(j *job, err error) error {
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

// placeAll places waiting requests of all pools. The caller must hold d.mu.
func (d *Dispatcher) placeAll() {
	for _, p := range d.queue.Pools() {
		d.placePool(p)
	}
}

// placePool assigns waiting requests of a pool to targets with spare capacity. It
// refuses requests that are not expected to end before their deadline. The caller
// must hold d.mu.
func (d *Dispatcher) placePool(pool string) {
	now := d.clock.Now()
	for it := d.queue.Peek(pool); it != nil; it = d.queue.Peek(pool) {
		j := it.Value
		c, ok := d.pick(now, j)
		if !ok {
			return
		}
		d.queue.Pop(pool)
		if remaining := time.Until(j.request.Deadline); c.Expected > remaining {
			j.placed <- placement{failure: &radishspoke.Failure{
				Outcome: j.outcome(), Status: http.StatusServiceUnavailable, Code: "overloaded",
				Message:    fmt.Sprintf("the answer is expected to take %v, the deadline is in %v", c.Expected, remaining),
				RetryAfter: max(time.Second, c.Expected-remaining),
			}}
			continue
		}
		d.router.Sent(now, c.Target.Name, j.work)
		j.placed <- placement{choice: c}
	}
}

// pick chooses a target with spare capacity for the request. If every reachable
// target has failed the request, they may all be tried again. The caller must hold
// d.mu.
func (d *Dispatcher) pick(now time.Duration, j *job) (router.Choice, bool) {
	c, ok := d.router.Pick(now, j.work)
	if ok || len(j.work.Exclude) == 0 {
		return c, ok
	}
	if _, reachable := d.router.Fastest(now, j.work); reachable {
		return c, false
	}
	j.work.Exclude = nil
	return d.router.Pick(now, j.work)
}
