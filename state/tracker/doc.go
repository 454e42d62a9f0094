// Package tracker knows which processes of the system there are.
//
// The platform's list of hosts lags, so it is a hint: a process that it shows
// may be gone, and probes tell. The list is read less often the longer it is,
// so that all processes together read it at a bounded rate.
package tracker
