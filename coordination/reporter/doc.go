// Package reporter computes the usage of closed windows and reports it to the
// platform.
//
// A window's figures are first frozen: one transaction writes them and advances
// the row with the next window to freeze. The transaction fails if that row has
// changed since it was read. Every report is made from the frozen figures,
// whichever process sends it. Before a process sends a report, it records itself
// as the sender in the row with the next window to report, on condition that this
// row has not changed. It checks its lease once more immediately before it sends
// the report. After the platform has answered, it advances the row.
//
// The package runs in radishspoke's own deployment. On an external platform,
// package biller reports usage.
package reporter
