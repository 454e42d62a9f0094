// Package fencer applies orders to the engine of a sidecar and rejects outdated
// ones.
//
// An order names the role, the model, the version and the adapters that the
// engine should have. The sidecar carries out one order at a time. It orders the
// engine only if its state differs from the order, and only after it has drained
// the engine. It rejects an order that is older than one it has accepted. After a
// start it rejects all orders until it has read the newest epoch from the table,
// because a restarted sidecar knows none. Engines that check fencing numbers
// receive them with each order. For other engines the sidecar is the only check.
package fencer
