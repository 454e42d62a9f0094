// Package forwarder takes callers' requests straight to targets and their
// answers back, unchanged.
//
// A request goes one way: it is admitted (route, key, limits), placed, sent,
// and settled. A long prompt is first read by one engine, and its KV cache
// handed to another that generates. A request that may run once only is sent
// again only after a target's word that it did not run; what may be repeated
// draws on a budget. A stream that may be resumed goes on at another engine
// within the same answer, after the last whole event.
//
// Answers that the forwarder makes itself keep to this: 408, 421, 429 and 503
// say that the request has not run and never will; 502 and 504 say nothing.
package forwarder
