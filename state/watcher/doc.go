// Package watcher holds the configuration in force in one process.
//
// Each version of the configuration is a row with the hash of a document in the
// object store. A document is accepted if its version is greater than the one in
// force, its hash matches and its inventory is valid, no matter whether it comes
// from the platform or from a peer. Hence the version in force never decreases.
//
// Package watcher runs in radishspoke's own deployment. Its counterpart on an
// external platform is package fleetwatcher.
package watcher
