// Package fleetlimiter enforces the rate and burst of teams over all entries
// together. It runs on an external platform; its counterpart in radishspoke's own
// deployment is package limiter.
//
// Each entry keeps a token bucket for each team. It subtracts what it charges
// itself and what the other entries report that they have charged. Between two
// exchanges an entry takes at most its share of the bucket. The share depends on
// how many of the requests of the team, refused ones included, arrive at the
// entry compared to the others. The shares add up to one, so that entries do not
// all take the same tokens.
//
// The limit of a team is defined over a window: in any window, the team may be
// charged its rate times the length of the window plus its burst. The bucket is
// filled at the rate at which a window reaches the limit, and the charges of the
// last window are summed besides. The depth of the bucket is what may be charged
// beyond the limit in the window that spans a restart of all entries.
//
// A request that its caller cannot make later, because it resumes a stream, waits for
// the rate at its entry. Such requests are admitted in order and before all others. They
// are charged when they are admitted, so that they change nothing in the limit.
//
// An entry that does not know the others, as their rows can't be read, charges an equal share of
// the rate and nothing of what the bucket holds, divided by the number of entries that it may
// assume. See radishspoke.Peers.
//
// A bucket starts empty, or at the level of a peer that was running long before,
// so that what was charged before the start cannot be charged again. A peer that
// is silent is assumed to charge its equal share of the rate. As every entry
// assumes this, the partitions of a fleet that the network divides together exceed
// the limit by at most one burst for each partition after the first, plus the
// tokens that the rate allows until a peer counts as silent.
package fleetlimiter
