// Package limiter holds every team to its rate and burst over all hosts
// together.
//
// Each team has one owner at a time, the holder of a lease, which keeps a
// Bucket. Entries charge requests to a Purse, filled by short-lived grants
// from the owner. A grant is debited from the bucket when it is given, and may
// be spent only within its validity V, which the entry counts from before it
// asked. So the charges of an interval of length t come from grants given in
// an interval of length t+V. The bucket holds at most burst - rate*V, thus
//
//	charged <= burst - rate*V + rate*(t+V) = burst + rate*t.
//
// A new owner starts with an empty bucket, after the old one's lease has
// lapsed, which keeps the sum of both under the same bound. The note
// docs/notes/limits.md has the proof in full.
package limiter
