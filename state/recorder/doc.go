// Package recorder keeps a process's metrics and shows them as text that
// common scrapers read.
package recorder
