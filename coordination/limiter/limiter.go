package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// Errors returned by Limiter.Charge.
var (
	// ErrTooLarge is returned when the cost of a request exceeds the largest
	// amount that can be granted to the team at once.
	ErrTooLarge = errors.New("request costs more than the team's burst")

	// ErrLimited is returned when the team's rate does not admit the request
	// before its deadline.
	ErrLimited = errors.New("team's rate is used up")

	// ErrUnreachable is returned when no owner of the team's budget replied
	// before the deadline of the request.
	ErrUnreachable = errors.New("team's budget can't be reached")
)

// LimitedError wraps ErrLimited and holds the time after which to retry.
type LimitedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("%v, come back in %v", ErrLimited, e.RetryAfter)
}

// Unwrap returns ErrLimited.
func (e *LimitedError) Unwrap() error { return ErrLimited }

// RequestFunc sends a budget request to the owner of the team's budget and
// returns the reply.
type RequestFunc func(ctx context.Context, q *wire.Budget) (*wire.BudgetReply, error)

// Charge is one settled charge: the team, the time at which it was made and
// the amount in tokens that was used.
type Charge struct {
	Team   string
	At     time.Duration
	Amount float64
}

// Limiter charges requests to team budgets at one entry. Create one with New.
type Limiter struct {
	name    string
	clock   radishspoke.Clock
	request RequestFunc
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	// OnSettle is called with every charge when it is settled, if it is not nil.
	// It must be set before the first charge, and must not call the limiter.
	OnSettle func(Charge)

	mu    sync.Mutex
	teams map[string]*account
}

// account is the state of one team at this entry.
type account struct {
	team      string
	grants    GrantSet
	refunds   []GrantPart
	waiters   []*waiter // in order of arrival
	refilling bool      // whether the refill goroutine runs

	refundScheduled bool    // whether a timer to send refunds is set
	maxGrant        float64 // largest grant of the owner in tokens, 0 if unknown
	unreachable     bool    // whether no owner replied to the last request

	// demand is the recent rate of requested charges, in tokens per second.
	demand   float64
	demandAt time.Duration
}

// waiter is a charge that waits for a grant. Its receipt and err are set before
// done is closed.
type waiter struct {
	cost     float64
	deadline time.Duration
	receipt  Receipt
	err      error
	done     chan struct{}
}

const (
	requestTimeout = 2 * time.Second        // of one request to the owner
	retryDelay     = 100 * time.Millisecond // after a request without a reply from an owner
	demandWindow   = 2 * time.Second        // over which the demand is averaged
	prefetchTime   = Validity / 2           // time span of demand that is requested in advance
	maxRefunds     = 512                    // per request
	refundDelay    = 200 * time.Millisecond // before refunds are sent on their own
)

// New returns a Limiter for the process with the given name.
func New(name string, c radishspoke.Clock, request RequestFunc) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	return &Limiter{name: name, clock: c, request: request, ctx: ctx, cancel: cancel, teams: map[string]*account{}}
}

// Close fails every waiting charge and waits for the goroutines to end.
func (l *Limiter) Close() {
	l.cancel()
	l.group.Wait()
}

// Charge takes cost, in tokens, from the budget of a team. If the grants at this
// entry do not cover the cost, it waits for more, up to the duration wait. If it
// returns an error, nothing has been charged. The error wraps ErrTooLarge,
// ErrLimited, ErrUnreachable or a context error.
func (l *Limiter) Charge(ctx context.Context, team string, cost float64, wait time.Duration) (Receipt, error) {
	now := l.clock.Now()
	l.mu.Lock()
	a := l.account(team)
	a.recordDemand(now, cost)
	if a.maxGrant > 0 && cost > a.maxGrant {
		l.mu.Unlock()
		return Receipt{}, fmt.Errorf("%w: %.0f tokens of at most %.0f", ErrTooLarge, cost, a.maxGrant)
	}
	if len(a.waiters) == 0 {
		if r, ok := a.grants.Charge(now, cost); ok {
			l.mu.Unlock()
			return r, nil
		}
	}
	w := &waiter{cost: cost, deadline: now + wait, done: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	l.refill(a)
	l.mu.Unlock()
	select {
	case <-w.done:
		return w.receipt, w.err
	case <-ctx.Done():
		return l.cancelWaiter(a, w, ctx.Err())
	}
}

// cancelWaiter removes a waiter whose context has ended. If it has been charged
// in the meantime, the charge is refunded.
func (l *Limiter) cancelWaiter(a *account, w *waiter, err error) (Receipt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range a.waiters {
		if x == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
		}
	}
	if len(w.receipt.Parts) > 0 {
		a.refunds = append(a.refunds, w.receipt.Unused(0)...)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Receipt{}, a.timeoutError()
	}
	return Receipt{}, fmt.Errorf("wait for budget: %w", err)
}

// Settle refunds the part of a charge that exceeds the amount used, in tokens.
func (l *Limiter) Settle(team string, r Receipt, used float64) {
	if l.OnSettle != nil {
		l.OnSettle(Charge{Team: team, At: r.At, Amount: used})
	}
	parts := r.Unused(used)
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	a.refunds = append(a.refunds, parts...)
	l.scheduleRefunds(a)
}

// scheduleRefunds sends refunds after refundDelay, unless a request for budget
// carries them earlier.
func (l *Limiter) scheduleRefunds(a *account) {
	if a.refundScheduled {
		return
	}
	a.refundScheduled = true
	time.AfterFunc(refundDelay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		a.refundScheduled = false
		if len(a.refunds) > 0 {
			l.refill(a)
		}
	})
}

func (l *Limiter) account(team string) *account {
	a, ok := l.teams[team]
	if !ok {
		a = &account{team: team}
		l.teams[team] = a
	}
	return a
}

// recordDemand adds the cost of one request to the average demand.
func (a *account) recordDemand(now time.Duration, cost float64) {
	if gap := now - a.demandAt; gap > 0 {
		a.demand *= max(0, 1-gap.Seconds()/demandWindow.Seconds())
		a.demandAt = now
	}
	a.demand += cost / demandWindow.Seconds()
}

// refill starts the goroutine that sends requests to the owner, unless it runs
// already.
func (l *Limiter) refill(a *account) {
	if a.refilling || l.ctx.Err() != nil {
		return
	}
	a.refilling = true
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		l.refillLoop(a)
	}()
}

// refillLoop sends requests until no charge waits and no refund is left.
func (l *Limiter) refillLoop(a *account) {
	for {
		q, sent := l.nextRequest(a)
		if q == nil {
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, requestTimeout)
		r, err := l.request(ctx, q)
		cancel()
		pause := l.handleReply(a, q, r, err, sent)
		if pause <= 0 {
			continue
		}
		ticker.Sleep(l.ctx, pause)
	}
}

// nextRequest returns the next request and the time at which the validity of its
// grant starts. It returns nil if the refill goroutine is to end.
func (l *Limiter) nextRequest(a *account) (*wire.Budget, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	a.refunds = append(a.refunds, a.grants.Expire(now)...)
	a.chargeWaiters(now, l.ctx.Err())
	if len(a.waiters) == 0 && len(a.refunds) == 0 || l.ctx.Err() != nil {
		a.refilling = false
		return nil, 0
	}
	q := &wire.Budget{Process: l.name, Team: a.team}
	n := min(len(a.refunds), maxRefunds)
	for _, p := range a.refunds[:n] {
		q.Refunds = append(q.Refunds, &wire.Refund{Grant: p.Grant, Epoch: p.Epoch, Amount: p.Amount})
	}
	a.refunds = append(a.refunds[:0], a.refunds[n:]...)
	if len(a.waiters) > 0 {
		remaining := a.grants.Remaining(now)
		total := 0.0
		for _, w := range a.waiters {
			total += w.cost
		}
		q.Need = max(0, a.waiters[0].cost-remaining)
		q.Want = max(q.Need, total-remaining+a.demand*prefetchTime.Seconds())
	}
	return q, now
}

// handleReply applies the reply to a request and returns the delay before the
// next request. If the reply was lost, the refunds of the request are not sent
// again, because the owner may have applied them.
func (l *Limiter) handleReply(a *account, q *wire.Budget, r *wire.BudgetReply, err error, sent time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	a.unreachable = err != nil || !r.Owner
	if a.unreachable {
		a.chargeWaiters(now, nil)
		return retryDelay
	}
	a.maxGrant = r.Most
	if r.Amount > 0 {
		a.grants.Add(Grant{Epoch: r.Epoch, ID: r.Grant, Amount: r.Amount, Expires: sent + time.Duration(r.ValidMs)*time.Millisecond})
	}
	retry := time.Duration(r.RetryMs) * time.Millisecond
	a.rejectWaiters(now, retry)
	a.chargeWaiters(now, nil)
	if r.Amount > 0 || q.Need == 0 {
		return 0
	}
	return min(max(retry, time.Millisecond), reservationTimeout/2)
}

// rejectWaiters fails the waiters whose cost exceeds the largest grant, and the
// first waiter if its deadline is before the retry time.
func (a *account) rejectWaiters(now, retry time.Duration) {
	kept := a.waiters[:0]
	for i, w := range a.waiters {
		switch {
		case a.maxGrant > 0 && w.cost > a.maxGrant:
			w.finish(Receipt{}, fmt.Errorf("%w: %.0f tokens of at most %.0f", ErrTooLarge, w.cost, a.maxGrant))
		case i == 0 && now+retry > w.deadline:
			w.finish(Receipt{}, &LimitedError{RetryAfter: retry})
		default:
			kept = append(kept, w)
		}
	}
	a.waiters = kept
}

// chargeWaiters charges waiters in order of arrival until the grants do not
// cover the next one. It then fails those whose deadline has passed. If failure
// is not nil, it fails all of them.
func (a *account) chargeWaiters(now time.Duration, failure error) {
	kept := a.waiters[:0]
	blocked := false
	for _, w := range a.waiters {
		if failure != nil {
			w.finish(Receipt{}, fmt.Errorf("wait for budget: %w", failure))
			continue
		}
		if !blocked {
			if r, ok := a.grants.Charge(now, w.cost); ok {
				w.finish(r, nil)
				continue
			}
			blocked = true
		}
		if now >= w.deadline {
			w.finish(Receipt{}, a.timeoutError())
			continue
		}
		kept = append(kept, w)
	}
	a.waiters = kept
}

// timeoutError returns the error for a waiter whose deadline has passed.
func (a *account) timeoutError() error {
	if a.unreachable {
		return ErrUnreachable
	}
	return &LimitedError{RetryAfter: reservationTimeout}
}

func (w *waiter) finish(r Receipt, err error) {
	w.receipt, w.err = r, err
	close(w.done)
}
