// Package soaker runs soak tests of the deployment on an external platform. It
// starts the production binary as separate entry and sidecar processes on one
// host, injects faults from outside, and checks what callers and targets observe.
//
// The faults and their times are drawn from a seed. They come one after another, and
// may overlap:
//
//   - processes are restarted, killed, paused, or sent SIGHUP;
//   - proxies on loopback delay, reset or refuse the connections of the processes
//     to the store and to the targets, or hold back their bytes in one direction or
//     in both;
//   - the store is unavailable, drops the responses to writes, compacts its
//     history, or comes back from an older copy;
//   - targets return faulty responses, or restart at the same address;
//   - targets fall silent in the middle of all their answers and go on later;
//   - engines crash when they begin an answer to a prompt with a certain part;
//   - API keys are withdrawn;
//   - the store turns most entries away while a withdrawn key is added again.
//
// The documentation of Finding lists the checks.
package soaker
