// Package planner decides which orders engines receive next, so that they reach
// the state in the inventory.
//
// A plan depends on the present state of the engines and not on earlier orders, so
// the planner keeps no state. Only a limited share of the engines of a model
// changes at the same time. The last engine that serves a model is never changed,
// unless the model has only one engine.
package planner
