// Package retrier bounds retries to a part of the requests, so that a failing
// fleet is not loaded further by those who ask it again.
package retrier
