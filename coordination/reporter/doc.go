// Package reporter computes the usage of closed windows and reports it to the
// platform.
//
// A window's figures are first frozen: one transaction writes them and advances
// the row with the next window to freeze, on condition of that row's version.
// Every report of the window, by any process, is made from the frozen row.
// Before a process sends a report, it records that it will, again conditionally,
// and then checks its lease once more. After the platform has answered, it
// advances the row with the next window to report.
package reporter
