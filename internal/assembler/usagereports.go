package assembler

import (
	"context"
	"time"
)

// The reporter is the entry that holds reporterLease. It reports the usage of
// all entries.
const (
	reporterLease  = "reporter"
	reportInterval = 5 * time.Second
)

func (e *Entry) reporterTenure() (int64, bool) { return e.elector.Holds(reporterLease) }

// reportUsage reports the usage in closed billing windows, if this entry is the
// reporter.
func (e *Entry) reportUsage(ctx context.Context) error {
	if _, ok := e.reporterTenure(); !ok {
		return nil
	}
	return e.reporter.Step(ctx)
}
