// Package elector holds leases in the platform's table service.
//
// A lease is a row with its holder, an epoch that grows by one with each new
// holder, and a beat that grows with each renewal. All rows that a process
// holds are renewed in one conditional transaction. The holder counts its
// lease from before the renewal was sent, on a clock that goes on while the
// host is suspended. Another process may take a lease once it has seen the
// same row version for longer than the lease and a margin. While the table
// service can't be reached, leases lapse; what must go on then is held by
// package voter.
//
// The method is that of Gray and Cheriton, "Leases", 1989, with the epoch as
// fencing number.
package elector
