// Package elector holds leases in the table service of the platform.
//
// A lease is a row with its holder, an epoch that increases with each acquisition,
// and a beat that increases by one with each renewal. A process renews all rows that
// it holds in one conditional transaction. The holder counts its lease from before it
// sent the renewal, on a clock that does not stop while the host is suspended. Another
// process may acquire a lease after it has seen the same version of the row for longer
// than the lease and a margin. Leases expire while the table service is unreachable. In
// radishspoke's own deployment, rights that must stay held in that time are granted by
// package voter.
//
// A released lease may be acquired at once, but not by a process that held it before its last
// holder and within its duration: calls of the two that overtake each other would then be
// mixed. The row lists such former holders, each with the time since, which every holder
// adds up on its own clock, so that a process that has started again finds itself there.
//
// Calls that carry the epoch of a lease are made with Use. A lease is not released while such a call
// is in progress or has no answer, as what it has sent could arrive after the calls of the
// next holder.
//
// A store that comes back from an older copy begins a new era, in which rows may be
// older than what it has acknowledged. A lease that has not expired is then kept, and its
// row written anew, whatever it says. Another process may acquire a lease only after it has
// seen its row, or its absence, for longer than the lease and a margin in the new era, even
// if the row says that the lease was released. Epochs are numbered by the position of the
// store at which the row was read, so that they increase over all eras.
//
// The method is that of Gray and Cheriton, "Leases", 1989. The epoch serves as
// fencing token.
package elector
