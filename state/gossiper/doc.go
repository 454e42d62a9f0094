// Package gossiper exchanges state between entries by UDP datagrams.
//
// Entries discover each other by rows in the platform's table service. An entry
// writes its row when it starts, and other entries mark the row as left once they
// have received no datagram from it for Settings.ForgetAfter. Until an entry has read the rows
// and written its own, it takes those for peers from which it receives datagrams. A row that
// is marked as left removes a peer only once nothing is received from it. Each datagram echoes
// the send time of the last one received. From this echo the receiver converts the
// times in a datagram to its own clock, so that a delayed datagram cannot make
// state look more recent than it is.
//
// Package gossiper runs on an external platform. In radishspoke's own deployment,
// package tracker provides the list of entries.
package gossiper
