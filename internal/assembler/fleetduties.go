package assembler

import (
	"context"
	"sync"

	"radishspoke/coordination/retrier"
	"radishspoke/platform"
)

// intake reports usage under this process's name.
type intake struct {
	client *platform.Client
	holder string
}

// ReportUsage implements biller.Intake.
func (i intake) ReportUsage(ctx context.Context, epoch, window int64, counts map[string]int64) error {
	return i.client.ReportUsage(ctx, platform.Tenure{Holder: i.holder, Epoch: epoch}, window, counts)
}

// repeats keeps a budget of repeated requests for each group.
type repeats struct {
	settings platform.Bounds
	entries  func() int

	mu      sync.Mutex
	budgets map[string]*retrier.Budget
}

// Request implements forwarder.Repeats.
func (r *repeats) Request(group string) { r.budget(group).Request() }

// Repeat implements forwarder.Repeats.
func (r *repeats) Repeat(group string) bool { return r.budget(group).Retry() }

func (r *repeats) budget(group string) *retrier.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[group]
	if !ok {
		b = retrier.NewBounded(repeatShare*r.settings.RetryRatio, repeatShare*r.settings.RetrySlack/float64(r.entries()))
		r.budgets[group] = b
	}
	return b
}
