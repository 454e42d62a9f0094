// Package biller counts the requests that began to run and reports them, window
// by window.
//
// Every entry counts its own and tells the others, so that what a killed entry
// had counted is known elsewhere. The entry that holds the duty adds the counts
// of a closed window up, freezes them in one row by a conditional write, and
// reports what the row says. Whoever takes the duty over repeats the frozen
// figures before it freezes the next window's; no window can be reported with
// two sets of figures.
package biller
