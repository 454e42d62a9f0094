// Package limiter enforces the rate and the burst of each team over all entries
// together.
//
// Each team's budget has one owner at a time, the entry that holds the lease on
// it. The owner keeps the team's token Bucket. Every entry charges requests
// against a local GrantSet, which it fills with short-lived grants from the
// owner. The owner subtracts a grant from the bucket when it issues it. An entry
// may charge against a grant only for the validity V of the grant, counted from
// before the entry sent the request for it. The charges of an interval of length
// t therefore come from grants issued within an interval of length t+V. The
// bucket holds at most burst - rate*V, so that
//
//	charged <= burst - rate*V + rate*(t+V) = burst + rate*t.
//
// A new owner starts with an empty bucket once the lease of the previous owner
// has expired, so the charges under both owners together stay within the same
// bound. See docs/notes/limits.md for the full proof.
//
// The package is used in radishspoke's own deployment. Its counterpart on an
// external platform is package fleetlimiter.
package limiter
