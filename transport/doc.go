// Package transport opens and accepts TCP connections. Its subpackages contain
// clients and servers that use these connections, and the clocks and timers of a
// process.
package transport
