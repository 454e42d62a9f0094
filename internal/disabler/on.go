//go:build breakage

package disabler

import "sync/atomic"

// disabled holds the Switch of the disabled mechanism.
var disabled atomic.Value

// Disabled returns whether a mechanism is disabled.
func Disabled(s Mechanism) bool {
	current, _ := disabled.Load().(Mechanism)
	return current == s
}

// Disable disables one mechanism and enables all others. An empty Mechanism
// enables all of them.
func Disable(s Mechanism) { disabled.Store(s) }
