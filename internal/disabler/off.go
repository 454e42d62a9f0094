//go:build !breakage

package disabler

// Disabled returns whether a mechanism is disabled, which is never the case in this
// build.
func Disabled(Mechanism) bool { return false }
