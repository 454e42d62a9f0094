//go:build breakage

package breaker

import "sync/atomic"

// disabled holds the Switch of the disabled mechanism.
var disabled atomic.Value

// Is returns whether a mechanism is disabled.
func Is(s Switch) bool {
	current, _ := disabled.Load().(Switch)
	return current == s
}

// Break disables one mechanism and enables all others. An empty Switch enables
// all of them.
func Break(s Switch) { disabled.Store(s) }
