// Package executor runs requests at a sidecar: each at most once, and each
// answer kept for a while so that it can be fetched again.
//
// A request is a record under its id. The first Execute with an id makes the
// record and starts the target; a later one attaches to it at the offset that
// the entry has reached. An Execute that only wants to attach, to an id that
// is not known, leaves a refused record behind, so that an earlier Execute
// still on its way is refused when it comes. That makes the word "not run"
// true for good.
//
// The method follows the usual at-most-once filter of remote procedure calls
// (Birrell and Nelson, 1984), with the process's incarnation to tell a
// restart.
package executor
