// Package gossiper exchanges what entries know with each other, by datagrams.
//
// Entries find each other by rows in the platform's table service; a row is
// written at a process's start and dropped once its process has been silent
// for long. What a datagram says of a moment is converted to the receiver's
// clock by an echo, so that a datagram that was delayed can't make news look
// fresher than it is.
package gossiper
