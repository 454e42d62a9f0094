//go:build review

// Package player plays the cases of the third review: it starts the programs of the deploy
// file as processes on loopback addresses, beside stand-ins for the platform, the engines and
// the callers, and records what these see.
package player
