// Package ticker is the timer service: one clock that parts subscribe to.
//
// The clock is the host's boot time clock, which, unlike Go's monotonic
// clock, advances while the host is suspended.
package ticker
