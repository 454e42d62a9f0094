//go:build breakage

package breaker

import "sync/atomic"

var broken atomic.Value

// Is tells whether a mechanism is broken.
func Is(s Switch) bool {
	now, _ := broken.Load().(Switch)
	return now == s
}

// Break breaks one mechanism, and mends any other; "" mends all.
func Break(s Switch) { broken.Store(s) }
