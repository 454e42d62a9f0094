//go:build breakage

package disabler

import "sync/atomic"

// disabled holds the Mechanism that is disabled, or "" if none is.
var disabled atomic.Value

// Disabled returns whether a mechanism is disabled.
func Disabled(m Mechanism) bool {
	current, _ := disabled.Load().(Mechanism)
	return current == m
}

// Disable disables one mechanism and enables all others. An empty Mechanism
// enables all of them.
func Disable(m Mechanism) { disabled.Store(m) }
