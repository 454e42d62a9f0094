// Package dispatcher carries a request from its admission at an entry to the
// end of its answer.
//
// A request is charged to its team, waits for its turn and for a target with
// room, and is executed there. When the connection to the sidecar is lost it
// attaches again over a new one, at the offset it has reached. It goes to
// another target only if it is idempotent, or if the sidecar has said that it
// did not run and never will.
package dispatcher
