// Package fencer stands between orders and an engine, at its sidecar.
//
// Orders say what the engine should be. One is carried out at a time: the
// engine is first drained, then read, and ordered only if it is not already as
// it should be. An order older than one that was taken is refused, and so is
// any until the sidecar has learnt the newest epoch from the table, as a
// sidecar that was restarted knows none. Engines that check fencing numbers get
// them too; for the others the sidecar is the fence.
package fencer
