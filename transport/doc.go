// Package transport opens and accepts TCP connections. Its subpackages contain the
// clients, servers and timers that use them.
package transport
