// Package claimer gives one execution to all requests that bring the same
// idempotency key, through whichever entries they come.
//
// Before a keyed request is sent, its entry writes a row for the key on
// condition that there is none: the request's id, and the target and the
// incarnation of the sidecar that will run it. An entry that finds a row
// attaches to that request at that sidecar instead, and so gets the same
// answer. Only the sidecar's word that the request did not run, and never
// will, lets an entry replace the row, again by conditional write.
package claimer
