// Package forecaster measures the work that the engines of each group do:
// how much they prefill, and what the answers in progress occupy. It does no
// I/O. Each process measures its own requests and reports the result to the others;
// the sum tells how many engines of each role a group needs.
package forecaster
