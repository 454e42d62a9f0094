// Package fleetdispatcher forwards requests of callers to targets and streams the
// answers back unchanged. It runs on an external platform; its counterpart in
// radishspoke's own deployment is package dispatcher.
//
// A request is admitted (route, key, rate limit), sent to a target that the
// router chooses, and counted. A long prompt is prefilled by one engine, and its
// KV cache is transferred to another engine that generates the answer. A request
// that is not idempotent is sent again only if it was not delivered or the target
// has stated that it did not run it. Each retry is taken from a retry budget,
// except the one that bypasses a sidecar which did not accept the request. A
// resumable stream that breaks continues at another engine within the same answer,
// after the last complete event.
//
// A target that is silent for a while may go on. Another one is asked beside it, and the
// attempt at the silent one ends only once the other has begun to answer. By the definition of
// the platform, a request of an engine starts to run with its first token, so that it does not
// run at both for longer than the header takes.
//
// In answers that the dispatcher generates itself, the status codes 408, 421, 429
// and 503 state that the request has not run and never will. The codes 502 and
// 504 state that it may have run.
package fleetdispatcher
