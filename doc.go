// Package radishspoke defines the data types and interfaces that are shared by
// all packages of the serving system.
//
// The other packages are layered, from the lowest: package transport and its
// children carry bytes over the network, package protocol defines the messages,
// the packages in coordination make the decisions, and the packages in state
// hold what a process knows about the fleet. A package imports only this one
// and packages of lower layers.
package radishspoke
