// Package tracker keeps the list of the system's processes.
//
// The list comes from the platform's list of hosts, which lags: a listed process
// may have stopped, and only probes show whether it is alive. Processes read the
// list less often the longer it is, so that the total rate of reads is bounded.
package tracker
