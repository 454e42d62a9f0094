// Package batcher joins small writes on a connection into larger ones.
//
// A write appends to a bounded buffer and returns; one goroutine writes the
// buffer out. While it is in a system call, further writes gather. A writer
// that meets a full buffer waits.
package batcher
