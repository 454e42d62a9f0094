//go:build review

// Package harness starts entries and sidecars as processes of their own, on loopback
// addresses, with stand-ins of the platform, of workers and of consumers. The cases of
// the review use it. It uses the standard library only.
package harness
