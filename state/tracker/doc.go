// Package tracker keeps the list of members, the processes of the system.
//
// The list is read from the platform and lags: a listed process may have stopped,
// and only probes show whether it is alive. The longer the list is, the less often
// a process reads it, so that the total rate of reads is bounded.
//
// Package tracker runs in radishspoke's own deployment. On an external platform,
// package gossiper discovers the entries.
package tracker
