// Package pooler holds teams to their limits over all entries together.
//
// In any window a team may be charged its rate times the window's length and
// its burst. Each entry adds up what it has charged itself and what the others
// say that they have; what was charged before an entry's start, which it can't
// know, counts as the full rate. Between two exchanges an entry takes at most
// a part of what is left, so that entries don't all take the same rest. While
// peers are silent they may still be charging: an entry then takes only the
// share of the entries that it hears, and as every entry does the same, the
// parts of a divided fleet together stay within the limit.
package pooler
