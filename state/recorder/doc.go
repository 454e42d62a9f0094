// Package recorder keeps the metrics of a process and serves them in the
// Prometheus text format.
package recorder
