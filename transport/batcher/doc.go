// Package batcher combines small writes to a connection into larger ones, to reduce
// the number of system calls.
//
// A write appends to a bounded buffer and returns. One goroutine writes the buffer to
// the connection. While it waits for a system call, further writes accumulate in the
// buffer. A write blocks while the buffer is full.
package batcher
