// Package soaker runs the production binary as separate entry and sidecar
// processes on one host, injects faults from outside, and checks what callers
// and targets observe. The faults and their times are drawn from a seed, follow
// each other in random order and may overlap. Loopback proxies delay or reset
// connections, or hold back their bytes in one or both directions. Processes are
// stopped, paused, killed and restarted. The store rejects calls, drops the
// responses to writes and compacts its history. Targets return faulty responses,
// or restart at their old address. Keys are withdrawn.
package soaker
