// Package ticker provides the clocks and the periodic timers of a process.
//
// Production code uses BootClock, which, unlike Go's monotonic clock, advances while
// the host is suspended.
package ticker
