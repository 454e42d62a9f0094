// Package voter grants each right to at most one process at a time by a majority
// vote among a few entries. Holders keep their rights, and other processes can
// acquire free ones, even while the table service of the platform is unreachable.
// The package is used in radishspoke's own deployment.
//
// The voters are listed in a row of the table service, as a set with a version. A
// process holds a right while a strict majority of the set has granted it the
// same tenure within the lease, which the holder counts from before it sent the
// request. A voter grants a right to another tenure only after its last grant of
// that right has expired or was released, and only to processes that use the same
// version of the set. A voter does not store its grants, so after a start it
// denies all requests until every earlier grant has expired. An expired tenure is
// never renewed. Its holder requests the right again under another tenure ID, so
// that state that depends on the tenure is discarded.
//
// A set changes by one member at a time, and only once a majority of the
// present set uses it. The majorities of any two sets in use therefore share a
// voter. See docs/notes/authority.md for the full argument.
//
// The majority rule is that of Gifford, "Weighted voting for replicated data",
// 1979. Unlike there, no data is replicated, because a grant has no effect after
// it has expired.
package voter
