// Package claimer makes all requests with the same idempotency key share one
// execution, whichever entries receive them.
//
// Before an entry sends a request with a key to a target, it writes a row for the
// key, a claim, on condition that there is none. The row holds the ID of the
// request, its target and the incarnation of the sidecar that will execute it. An
// entry that finds a row attaches to that request at that sidecar instead, and so
// receives the same answer. An entry may replace the row, again by a conditional
// write, only if the sidecar confirms that the request did not run and never
// will.
package claimer
