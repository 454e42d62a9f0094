// Package reporter computes the usage of closed windows and reports it to the
// platform.
//
// A window's figures are first frozen: one transaction writes them and advances
// the row with the next window to freeze. The transaction fails if that row has
// changed since it was read. Every process reports the frozen figures. Before a
// process sends a report, it records itself as the sender, again on condition
// that the row has not changed, and then checks its lease once more. After the
// platform has answered, it advances the row with the next window to report.
//
// The package runs in radishspoke's own deployment. On an external platform,
// package biller reports usage.
package reporter
