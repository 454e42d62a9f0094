// Package fleetdispatcher forwards requests of callers to targets and streams the
// answers back unchanged.
//
// A request is admitted (route, key, rate limit), placed, sent and accounted. A
// long prompt is prefilled by one engine, and its KV cache is transferred to
// another engine that generates the answer. A request that is not idempotent is
// sent again only if a target has stated that it did not run it. Requests
// that are sent again draw on a retry budget. A resumable stream that breaks
// continues at another engine within the same answer, after the last complete
// event.
//
// In answers that the forwarder generates itself, the status codes 408, 421, 429
// and 503 state that the request has not run and never will. The codes 502 and
// 504 leave this open.
package fleetdispatcher
