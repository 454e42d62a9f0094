// Package scheduler orders waiting requests: teams of a lower order first,
// and within an order by weighted fair queueing in token cost.
//
// Each request gets a finish tag when it is queued: the larger of the
// queue's virtual time and its team's last tag, plus its cost over the team's
// weight. The request with the least tag goes next, and the virtual time
// moves to its tag. A team that sends nothing gains no credit, and one that
// sends several times its share only lengthens its own queue. The method is
// self-clocked fair queueing (Golestani, 1994).
package scheduler
