// Package breaker switches mechanisms off on purpose, so that the tests which
// should notice can be tested themselves.
//
// The switches exist only in builds with the tag "breakage". In every other
// build Is is a constant and the code behind it is compiled away.
package breaker

// Switch names one mechanism that can be broken.
type Switch string

// The switches.
const (
	// Records lets a sidecar run a request that it knows already.
	Records Switch = "records"

	// Tombstones lets a sidecar forget what it has refused.
	Tombstones Switch = "tombstones"

	// Incarnations lets a restarted sidecar vouch for its predecessor.
	Incarnations Switch = "incarnations"

	// Offsets starts every attempt of an answer at its beginning.
	Offsets Switch = "offsets"

	// Ends takes a lost stream for the end of an answer.
	Ends Switch = "ends"

	// Claims runs keyed requests without looking at claims.
	Claims Switch = "claims"

	// Tenures lets every entry own every team's budget.
	Tenures Switch = "tenures"

	// Validity lets grants be spent at any time.
	Validity Switch = "validity"

	// Refunds puts a refund into the bucket whatever has passed since.
	Refunds Switch = "refunds"

	// Votes lets a voter grant a right that it has granted to another.
	Votes Switch = "votes"

	// Witnesses keeps sidecars from recording what ended entries left.
	Witnesses Switch = "witnesses"

	// Sends counts a lease from the store's answer, not from before the
	// renewal was sent.
	Sends Switch = "sends"

	// Lost takes a write whose answer was lost for one that failed.
	Lost Switch = "lost"

	// Standing trusts keys however old the configuration is.
	Standing Switch = "standing"
)
