// Package soaker runs the real programs as separate processes on one host,
// injects faults from outside, and checks what callers and targets see.
//
// A seed decides the faults and their times. Faults are connections that are
// delayed, reset, silenced or cut one way by loopback proxies; processes that
// are stopped, paused, killed and restarted by signals; a store that refuses,
// loses answers and forgets its history; targets that restart under their old
// addresses; keys that are withdrawn. They come in series and overlap.
//
// What is checked, each named in a Finding:
//
//   - mixed: a whole answer is the answer to its request, a stream has each
//     event once and in order;
//   - twice: an unsafe request runs at most once, another at most as often as
//     its route allows;
//   - refused: what an entry says did not run has not run and never does;
//   - unasked: targets get the caller's team and none of its key or forged
//     headers;
//   - held: an answer comes within the time budget and half a second;
//   - revoked: a withdrawn key starts nothing after its time;
//   - lost: a planned stop cuts no request;
//   - one: a window of usage has one figure, an engine one holder of orders;
//   - exit: a process ends only when it is told to, and in time;
//   - recover: when all faults are over, every entry serves every kind again.
package soaker
