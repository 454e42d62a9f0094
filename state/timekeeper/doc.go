// Package timekeeper provides the time of day to processes whose hosts' clocks
// may jump.
//
// The time is derived from the monotonic clock of the platform's store. The time
// of day at the zero of that clock is written to a row once, by the first process,
// and read by all others, so that all processes use the same value.
//
// Package timekeeper runs on an external platform.
package timekeeper
