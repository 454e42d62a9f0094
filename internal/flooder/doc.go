// Package flooder tests the programs against clients that misbehave: heads of legal size made
// of very many lines, heads and bodies that do not end, and readers that do not read. A Site
// runs an entry and a sidecar of the external platform as processes on loopback addresses,
// with the smallest stated memory, and a Crowd holds connections of one kind of client open
// to one of their ports.
package flooder
