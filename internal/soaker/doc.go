// Package soaker runs the production binary as separate entry and sidecar
// processes on one host, injects faults from outside, and checks what callers
// and targets observe.
//
// The faults and their times are drawn from a seed. Loopback proxies delay or
// reset connections, or hold back their bytes in one or both directions.
// Processes are stopped, paused, killed and restarted. The store rejects calls,
// drops the responses to writes and compacts its history. Targets return faulty
// responses, or restart at their old address. Keys are withdrawn. Faults follow
// each other in random order and may overlap.
//
// The name of each check is the Check of its findings:
//
//   - mixed: a complete response belongs to its request, and a stream has each
//     event once and in order;
//   - twice: an unsafe request runs at most once, any other request at most as
//     often as its route allows;
//   - refused: a request that an entry reported as not run was never run;
//   - unasked: targets receive the team of the caller, but neither its key nor
//     a forged header;
//   - held: a response is complete within the time budget and half a second;
//   - revoked: a withdrawn key starts no work after the revocation time;
//   - lost: a planned stop of a process interrupts no request;
//   - one: a usage window has a single figure, and an engine takes orders from a
//     single holder;
//   - exit: a process exits only on request, and within its grace period;
//   - recover: after the last fault every entry serves every kind of request
//     again.
package soaker
