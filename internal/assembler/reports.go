package assembler

import (
	"context"
	"time"
)

// The reporter is the entry that reports usage.
const (
	reporterLease  = "reporter"
	reportInterval = 5 * time.Second
)

func (e *Entry) reporterTenure() (int64, bool) { return e.elector.Holds(reporterLease) }

// report reports closed windows if this entry is the reporter.
func (e *Entry) report(ctx context.Context) error {
	if _, ok := e.reporterTenure(); !ok {
		return nil
	}
	return e.reporter.Step(ctx)
}
