// Package locator keeps a directory of the prompt parts that engines hold in their
// KV caches. It does no I/O.
//
// A process learns of a part when an engine has read it at its request. It tells the
// other processes, which pass the fact on, so that all know it within a few rounds
// of messages. A part that is used again is only reported again after a while. Parts
// expire when an engine has read as many tokens since as its cache holds.
package locator
