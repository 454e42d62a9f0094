package assembler

import (
	"context"
	"time"

	"radishspoke"
	"radishspoke/coordination/biller"
	"radishspoke/platform"
	"radishspoke/transport/ticker"
)

const (
	usageInterval = 500 * time.Millisecond

	// usageLeaseMargin is the time before the expiry of the lease for reporting
	// usage at which its holder stops using it. The duration of the lease is
	// the minimum time between two holders plus this margin.
	usageLeaseMargin = time.Second

	// usageCandidates is the number of entries that try to take the lease for
	// reporting usage.
	usageCandidates = 2
)

// usageReporter reports usage to the platform in the name of this process, while it
// holds the lease for that. It implements biller.UsageReporter.
type usageReporter struct {
	client *platform.Client
	lease  radishspoke.Lease
	holder string
}

// ReportUsage reports the usage counts of a billing window, by team, in the
// tenure with the given epoch. It implements biller.UsageReporter.
func (r usageReporter) ReportUsage(ctx context.Context, epoch, window int64, counts map[string]int64) error {
	return r.lease.Use(ctx, epoch, func(ctx context.Context) error {
		return r.client.ReportUsage(ctx, platform.Tenure{Holder: r.holder, Epoch: epoch}, window, counts)
	})
}

// wantedLeases returns the leases that this entry tries to take, with its rank
// for each. The only lease is that for reporting usage.
func (e *FleetEntry) wantedLeases() map[string]int {
	if e.leaving.Load() {
		return nil
	}
	if _, holds := e.elector.Holds(biller.LeaseName); holds || e.rank() < usageCandidates {
		return map[string]int{biller.LeaseName: 0} // candidates have equal rank; the first to write the lease gets it
	}
	return nil
}

// reportUsage reports usage periodically until ctx is done. Reporting starts once
// the process knows the time of day at which the store's clock was zero, from which
// the billing windows are derived. It reads that again in each era of the store.
func (e *FleetEntry) reportUsage(ctx context.Context, t radishspoke.Timers) {
	synced := int64(-1) // era of the store in which the zero was read
	ticker.Each(ctx, t, usageInterval, func() {
		if era := e.table.History().Position.Era; synced != era {
			if err := e.storeTime.SyncZero(ctx); err != nil {
				e.env.Log.Debug("time of day is not known yet", "error", err)
				return
			}
			synced = era
		}
		if err := e.biller.Step(ctx); err != nil {
			e.env.Log.Warn("usage not reported", "error", err)
		}
	})
}

// logEras logs each return of the store from an older copy until ctx is done.
func (e *FleetEntry) logEras(ctx context.Context) {
	for {
		h := e.table.History()
		select {
		case <-ctx.Done():
			return
		case <-h.Ended:
			e.env.Log.Warn("store has come back from an older copy", "after", h.Position.Version, "era", e.table.History().Position.Era)
		}
	}
}
