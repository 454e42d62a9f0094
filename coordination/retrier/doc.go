// Package retrier limits retries to a fraction of the requests, so that retries
// do not overload a fleet that is already failing.
package retrier
