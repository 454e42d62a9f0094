// Package planner decides which engines to order next, so that they become
// what the inventory says.
//
// It looks at what engines are, not at what was ordered before, so it needs no
// memory. Only a part of the engines of one model changes at once, and never
// the last one that serves it.
package planner
