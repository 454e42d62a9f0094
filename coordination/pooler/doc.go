// Package pooler holds teams to their rate and burst over all entries together.
//
// Each entry keeps a token bucket for each team, from which it takes what it
// charges itself and what the others say that they have charged. Between two
// exchanges an entry takes at most its part of the bucket, by how much of the
// team's requests come to it and to the others, refused ones included; the parts
// add up to one, so that entries don't all take the same rest. A bucket starts
// empty, or as a peer has it that was there long before, so that whatever was
// charged before the start can't be charged again. A peer that is
// silent counts as charging its equal share of the rate; as every entry does
// the same, the parts of a divided fleet together exceed the limit by at most
// one burst for each part but the first, and by what the rate allows until a
// peer counts as silent.
package pooler
