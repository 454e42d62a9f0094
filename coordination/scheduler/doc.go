// Package scheduler queues waiting requests. Requests of teams with a lower order
// go first. Teams of the same order share the service by weighted fair queueing
// of the token cost.
//
// A queued request gets a finish tag: the larger of the queue's virtual time and
// its team's last tag, plus its cost divided by the team's weight. The request
// with the smallest tag goes next, and the virtual time advances to its tag. A
// team gains no credit while it sends nothing, and a team that sends more than
// its share only lengthens its own queue. The method is self-clocked fair
// queueing (Golestani, "A Self-Clocked Fair Queueing Scheme for Broadband
// Applications", 1994).
//
// The package runs in radishspoke's own deployment. Its counterpart on an external
// platform is sequencer.
package scheduler
