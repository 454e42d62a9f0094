// Package pooler holds teams to their limits over all entries together.
//
// In any window a team may be charged its rate times the window's length and
// its burst. Each entry adds up what it has charged itself and what the others
// say that they have. What was charged before an entry's start it learns from
// a peer; until then that counts as the full rate. Between two exchanges an
// entry takes at most a part of what is left, so that entries don't all take
// the same rest. A peer that is silent counts as charging its equal share of
// the rate; as every entry does the same, the parts of a divided fleet together
// exceed the limit by at most one burst for each part but the first.
package pooler
