// Package executor runs requests at a sidecar, each at most once, and keeps each
// answer for a while so that it can be read again.
//
// The executor keeps a record of each request under the request's ID. The first
// Execute message with an ID creates the record and starts the request at the
// target. A later one attaches to the request, at the offset that the entry has
// reached. If an Execute message may only attach and its ID has no record, the
// executor replies that the request did not run, and creates a record of a
// refused request. An earlier Execute message that arrives late is then refused
// as well, so the reply stays true.
//
// This is the usual at-most-once filter of remote procedure calls (Birrell and
// Nelson, "Implementing Remote Procedure Calls", 1984). The incarnation of the
// process tells whether the sidecar was restarted and its records were lost.
//
// The package runs in radishspoke's own deployment. On an external platform there
// is no executor: entries send requests to targets themselves or through package
// relayer.
package executor
