// Package trial runs seeded traffic through routing and queueing policies and
// the same engines, in simulated time, and compares what callers get.
//
// It holds decision cores, an engine's step model and a clock, nothing else: no
// processes, connections or failures but the loss of an engine.
package trial
