// Package radishspoke holds the data and the interfaces that the parts of the
// serving system share.
//
// The packages below it are layered. Package transport and its children move
// bytes, protocol gives them types, coordination decides, and state holds what
// a process knows of the fleet. A package may import this one and packages of
// lower layers only.
package radishspoke
