// Package reporter makes up the usage figures of closed windows and reports
// them to the platform.
//
// A window's figures are frozen first: one transaction writes them and moves
// the pointer to the next window, on condition of the pointer's version. Every
// report, by whomever, is made from the frozen row. Before a report is sent,
// its sender writes that it will, again conditionally, and it checks its lease
// once more at the last moment; after the answer the second pointer moves on.
package reporter
