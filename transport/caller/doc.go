// Package caller makes HTTP/1.1 calls to targets over kept connections.
//
// It differs from a general client in what a caller of requests that may run
// only once must know: whether any byte of a request may have reached the
// target, and whether an answer belongs to the request. It never sends a
// request twice.
package caller
