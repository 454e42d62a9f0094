// Package dispatcher runs each request that an entry has admitted, until its
// answer has ended.
//
// A request is charged to its team's budget, waits in a queue for a target with
// spare capacity, and is executed there by way of the target's sidecar. When the
// connection to the sidecar breaks, the dispatcher attaches to the request over
// a new connection, at the offset that the answer has reached. It sends the
// request to another target only if the request is idempotent, or if the
// sidecar has reported that it did not run the request and never will.
//
// The package runs in radishspoke's own deployment. Its counterpart on an external
// platform is fleetdispatcher.
package dispatcher
