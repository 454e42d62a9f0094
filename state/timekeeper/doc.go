// Package timekeeper tells the true time of day to processes whose hosts'
// clocks may jump.
//
// The time is counted on the steady clock of the platform's store. Which time
// of day that clock's zero stands for is written down once, by the first
// process, and read by all others, so that all agree on it.
package timekeeper
