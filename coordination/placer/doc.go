// Package placer chooses the targets of a request.
//
// Prompts go to the engine by which they are expected to be read first: the
// queue there, and what the engine still has in its cache of the parts that
// the prompt shares with others. Every process ranks engines for a shared part
// in the same order (rendezvous hashing), so that a part is kept in one place
// without any exchange between them. Targets that fail, refuse or stay silent
// are passed over for a while that grows with each failure; if all are, the
// one whose time ends first is tried.
package placer
