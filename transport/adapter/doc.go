// Package adapter speaks to targets in the protocols that they publish, on
// behalf of the sidecar beside them.
package adapter
