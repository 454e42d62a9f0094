// Package watcher holds the configuration in force at one process.
//
// A version is one row with the hash of a document in the object store. A
// process only moves forward: a document is taken if its version is higher
// than the one in force, its hash is right and its inventory is sound. It
// comes from the platform or from a peer; who brings it makes no difference.
package watcher
