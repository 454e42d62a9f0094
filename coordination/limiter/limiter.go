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

// Errors of Charge.
var (
	// ErrTooLarge says that a request costs more than the team's burst lets
	// through at once.
	ErrTooLarge = errors.New("request costs more than the team's burst")

	// ErrLimited says that the team's rate does not let the request through
	// before its deadline.
	ErrLimited = errors.New("team's rate is used up")

	// ErrUnreachable says that nobody who owns the team's budget answered
	// before the request's deadline.
	ErrUnreachable = errors.New("team's budget can't be reached")
)

// LimitedError is an ErrLimited with the time to come back after.
type LimitedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("%v, come back in %v", ErrLimited, e.RetryAfter)
}

// Unwrap returns ErrLimited.
func (e *LimitedError) Unwrap() error { return ErrLimited }

// Ask sends a request for budget to the team's owner.
type Ask func(ctx context.Context, q *wire.Budget) (*wire.BudgetReply, error)

// Charge is one charge as it was made; Amount is what was used once it has
// been settled.
type Charge struct {
	Team   string
	At     time.Duration
	Amount float64
}

// Limiter charges requests at one entry. Make it with New.
type Limiter struct {
	name   string
	clock  radishspoke.Clock
	ask    Ask
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	// Journal, if set before the first charge, is called with every charge
	// when it is settled. It must not call the limiter.
	Journal func(Charge)

	mu    sync.Mutex
	teams map[string]*account
}

// account is one team at this entry.
type account struct {
	team    string
	purse   Purse
	refunds []Part
	waiting []*waiter
	filling bool

	// refunding is set while refunds wait for a question to go with.
	refunding bool
	most      float64 // largest charge the owner can grant, 0 if not known
	silent    bool    // the last question got no answer from an owner

	// demand is the recent rate of charges, in tokens per second.
	demand   float64
	demandAt time.Duration
}

type waiter struct {
	cost     float64
	deadline time.Duration
	receipt  Receipt
	err      error
	done     chan struct{}
}

const (
	askTimeout  = 2 * time.Second
	askRetry    = 100 * time.Millisecond
	demandTime  = 2 * time.Second // over which demand is averaged
	prefetch    = Validity / 2    // demand of that time is asked for ahead
	mostRefunds = 512             // sent at once
	refundDelay = 200 * time.Millisecond
)

// New returns a Limiter for the process of that name.
func New(name string, c radishspoke.Clock, ask Ask) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	return &Limiter{name: name, clock: c, ask: ask, ctx: ctx, cancel: cancel, teams: map[string]*account{}}
}

// Close fails every waiting charge and waits for the goroutines.
func (l *Limiter) Close() {
	l.cancel()
	l.group.Wait()
}

// Charge takes cost from the team's budget. It waits if need be until wait
// has passed. The error is ErrTooLarge, ErrLimited, ErrUnreachable or that of
// ctx; nothing has been charged then.
func (l *Limiter) Charge(ctx context.Context, team string, cost float64, wait time.Duration) (Receipt, error) {
	now := l.clock.Now()
	l.mu.Lock()
	a := l.account(team)
	a.note(now, cost)
	if a.most > 0 && cost > a.most {
		l.mu.Unlock()
		return Receipt{}, fmt.Errorf("%w: %.0f tokens of at most %.0f", ErrTooLarge, cost, a.most)
	}
	if len(a.waiting) == 0 {
		if r, ok := a.purse.Charge(now, cost); ok {
			l.mu.Unlock()
			return r, nil
		}
	}
	w := &waiter{cost: cost, deadline: now + wait, done: make(chan struct{})}
	a.waiting = append(a.waiting, w)
	l.fill(a)
	l.mu.Unlock()
	select {
	case <-w.done:
		return w.receipt, w.err
	case <-ctx.Done():
		return l.abandon(a, w, ctx.Err())
	}
}

// abandon takes a waiter out whose caller has gone. If it was charged in the
// meantime, the charge is given back.
func (l *Limiter) abandon(a *account, w *waiter, err error) (Receipt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range a.waiting {
		if e == w {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
		}
	}
	if len(w.receipt.Parts) > 0 {
		a.refunds = append(a.refunds, w.receipt.Settle(0)...)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Receipt{}, a.late()
	}
	return Receipt{}, fmt.Errorf("wait for budget: %w", err)
}

// Settle gives back what a charge took beyond what was used.
func (l *Limiter) Settle(team string, r Receipt, used float64) {
	if l.Journal != nil {
		l.Journal(Charge{Team: team, At: r.At, Amount: used})
	}
	parts := r.Settle(used)
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	a.refunds = append(a.refunds, parts...)
	l.refundLater(a)
}

// refundLater sees to it that refunds go back, with the next charge's question
// if one comes soon.
func (l *Limiter) refundLater(a *account) {
	if a.refunding {
		return
	}
	a.refunding = true
	time.AfterFunc(refundDelay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		a.refunding = false
		if len(a.refunds) > 0 {
			l.fill(a)
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

// note updates the demand with one charge.
func (a *account) note(now time.Duration, cost float64) {
	if gap := now - a.demandAt; gap > 0 {
		a.demand *= max(0, 1-gap.Seconds()/demandTime.Seconds())
		a.demandAt = now
	}
	a.demand += cost / demandTime.Seconds()
}

// fill starts the goroutine that asks the owner, unless it runs.
func (l *Limiter) fill(a *account) {
	if a.filling || l.ctx.Err() != nil {
		return
	}
	a.filling = true
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		l.fillLoop(a)
	}()
}

// fillLoop asks until nobody waits and there is nothing to give back.
func (l *Limiter) fillLoop(a *account) {
	for {
		q, sent := l.question(a)
		if q == nil {
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, askTimeout)
		r, err := l.ask(ctx, q)
		cancel()
		pause := l.take(a, q, r, err, sent)
		if pause <= 0 {
			continue
		}
		ticker.Sleep(l.ctx, pause)
	}
}

// question returns what to ask next and the time before it is sent, or nil
// when the goroutine is to end.
func (l *Limiter) question(a *account) (*wire.Budget, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	a.refunds = append(a.refunds, a.purse.Expire(now)...)
	a.serve(now, l.ctx.Err())
	if len(a.waiting) == 0 && len(a.refunds) == 0 || l.ctx.Err() != nil {
		a.filling = false
		return nil, 0
	}
	q := &wire.Budget{Process: l.name, Team: a.team}
	n := min(len(a.refunds), mostRefunds)
	for _, p := range a.refunds[:n] {
		q.Refunds = append(q.Refunds, &wire.Refund{Grant: p.Grant, Epoch: p.Epoch, Amount: p.Amount})
	}
	a.refunds = append(a.refunds[:0], a.refunds[n:]...)
	if len(a.waiting) > 0 {
		left := a.purse.Left(now)
		all := 0.0
		for _, w := range a.waiting {
			all += w.cost
		}
		q.Need = max(0, a.waiting[0].cost-left)
		q.Want = max(q.Need, all-left+a.demand*prefetch.Seconds())
	}
	return q, now
}

// take puts a reply to use and returns how long to wait before the next
// question. A question without a reply may have been carried out: what it
// gave back is not given back again.
func (l *Limiter) take(a *account, q *wire.Budget, r *wire.BudgetReply, err error, sent time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	a.silent = err != nil || !r.Owner
	if a.silent {
		a.serve(now, nil)
		return askRetry
	}
	a.most = r.Most
	if r.Amount > 0 {
		a.purse.Add(Grant{Epoch: r.Epoch, ID: r.Grant, Amount: r.Amount, Expires: sent + time.Duration(r.ValidMs)*time.Millisecond})
	}
	retry := time.Duration(r.RetryMs) * time.Millisecond
	a.limit(now, retry)
	a.serve(now, nil)
	if r.Amount > 0 || q.Need == 0 {
		return 0
	}
	return min(max(retry, time.Millisecond), headTime/2)
}

// limit fails the waiters that the owner's answer shows to be in vain.
func (a *account) limit(now, retry time.Duration) {
	kept := a.waiting[:0]
	for i, w := range a.waiting {
		switch {
		case a.most > 0 && w.cost > a.most:
			w.end(Receipt{}, fmt.Errorf("%w: %.0f tokens of at most %.0f", ErrTooLarge, w.cost, a.most))
		case i == 0 && now+retry > w.deadline:
			w.end(Receipt{}, &LimitedError{RetryAfter: retry})
		default:
			kept = append(kept, w)
		}
	}
	a.waiting = kept
}

// serve charges waiters in order while the purse lasts, and fails those whose
// time is up, or all if failure is set.
func (a *account) serve(now time.Duration, failure error) {
	kept := a.waiting[:0]
	blocked := false
	for _, w := range a.waiting {
		if failure != nil {
			w.end(Receipt{}, fmt.Errorf("wait for budget: %w", failure))
			continue
		}
		if !blocked {
			if r, ok := a.purse.Charge(now, w.cost); ok {
				w.end(r, nil)
				continue
			}
			blocked = true
		}
		if now >= w.deadline {
			w.end(Receipt{}, a.late())
			continue
		}
		kept = append(kept, w)
	}
	a.waiting = kept
}

// late tells why a waiter's time is up.
func (a *account) late() error {
	if a.silent {
		return ErrUnreachable
	}
	return &LimitedError{RetryAfter: headTime}
}

func (w *waiter) end(r Receipt, err error) {
	w.receipt, w.err = r, err
	close(w.done)
}
