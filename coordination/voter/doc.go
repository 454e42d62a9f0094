// Package voter gives rights to one process at a time by the votes of a few
// entries, so that they stay with their holders, and find new ones, while the
// platform's table service can't be reached.
//
// The voters are named in a row of the table service, a set with a version. A
// holder has a right while a strict majority of the set has granted it the
// same tenure within the lease, counted by the holder from before it asked. A
// voter grants a right to another tenure only when its last grant has lapsed
// or was given back, and only to askers of its own set version. After a start
// it abstains until every grant that it may have forgotten has lapsed. A
// tenure that has lapsed is never taken up again; its holder asks anew under
// another id, so that whatever hung on the tenure starts afresh.
//
// A set changes by one member at a time, and only once a majority of the
// present set uses it, so the majorities of any two sets in use have a voter
// in common. The note docs/notes/authority.md has the argument in full.
//
// The majority rule is Gifford's, "Weighted voting for replicated data", 1979;
// nothing is replicated here, as grants are forgotten when they lapse.
package voter
