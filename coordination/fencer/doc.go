// Package fencer applies orders to the engine of a sidecar and rejects outdated
// ones.
//
// An order names the role, the model, the version and the adapters that the
// engine should have. The sidecar carries out one order at a time. It applies an
// order only if the state of the engine differs from it, and only after it has
// drained the engine. It rejects an order that is older than one that it has
// accepted. The epochs are not stored in the sidecar, so after a start it rejects
// all orders until it has read the newest epoch from the table. Engines that
// check fencing tokens receive one with each order. For other engines the sidecar
// is the only check.
package fencer
