// Package admitter decides which requests an entry admits when the targets of a group can't
// serve all of them. It does no I/O: its inputs are requests, the supply of targets, reports
// of other processes, a clock and a source of random numbers.
//
// Requests are grouped into classes by rank, progress, lateness and work. Each process
// measures the demand of each class and knows that of the others from their reports. The
// classes that fit the capacity of the group are admitted, in the order of their value for
// the work, and one of them in part. Each class gets at least a quarter of the fraction of
// any other. Requests are rejected only while there is evidence of a shortage.
package admitter
