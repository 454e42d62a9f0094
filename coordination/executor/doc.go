// Package executor runs requests at a sidecar, each at most once, and keeps each
// answer for a while so that it can be read again.
//
// The executor has a record of each request, found by the request's id. The
// first Execute with an id creates the record and starts the request at the
// target. A later one attaches to it, at the offset that the entry has reached.
// An Execute that may only attach, and whose id has no record, leaves a record
// of a refused request. An earlier Execute that arrives after it is then
// refused as well, so the answer "not run" stays true.
//
// This is the usual at-most-once filter of remote procedure calls (Birrell and
// Nelson, "Implementing Remote Procedure Calls", 1984). The incarnation of the
// process tells whether the sidecar, and with it the records, was restarted.
package executor
