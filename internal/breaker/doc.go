// Package breaker disables single mechanisms of the system, to check that the
// tests that cover a mechanism fail without it.
//
// Mechanisms can be disabled only in builds with the tag "breakage". In all
// other builds Is is constant, and the compiler removes the code that depends on
// it.
package breaker

// Switch identifies a mechanism that can be disabled.
type Switch string

// The mechanisms that can be disabled.
const (
	// Records is the deduplication of requests by a sidecar. Without it, a
	// sidecar runs a request again that it has a record of.
	Records Switch = "records"

	// Tombstones is the record that a sidecar keeps of a request that it has
	// refused. Without it, the request can still run when it comes again.
	Tombstones Switch = "tombstones"

	// Incarnations is the check of a sidecar that a request was addressed to
	// its own incarnation. Without it, a restarted sidecar answers for its
	// predecessor, whose records it does not have.
	Incarnations Switch = "incarnations"

	// Offsets is the resumption of an answer at the position that was
	// reached. Without it, each attempt starts at the beginning.
	Offsets Switch = "offsets"

	// Ends is the distinction between a lost stream and the end of an
	// answer. Without it, a lost stream counts as the end.
	Ends Switch = "ends"

	// Claims is the claim that ties an idempotency key to one execution.
	// Without it, requests with a key run without a claim.
	Claims Switch = "claims"

	// Tenures is the exclusive ownership of a team's budget. Without it,
	// every entry acts as the owner of every budget.
	Tenures Switch = "tenures"

	// Validity is the expiry of grants. Without it, a grant can be charged
	// at any time.
	Validity Switch = "validity"

	// Refunds is the limit on the refund of a grant. Without it, the bucket
	// also gets the part that would have overflowed if it had never been
	// granted.
	Refunds Switch = "refunds"

	// Votes is the rule that a voter grants a right to one holder at a time.
	// Without it, a voter grants a right while a grant to another holder is
	// still valid.
	Votes Switch = "votes"

	// Witnesses is the record that sidecars keep of answers that an ended
	// entry has not recorded. Without it, the usage of these answers is
	// lost.
	Witnesses Switch = "witnesses"

	// Sends is the rule that the duration of a lease counts from before its
	// renewal was sent. Without it, the duration counts from the response of
	// the store.
	Sends Switch = "sends"

	// Lost is the resolution of writes whose response was lost. Without it,
	// such a write counts as failed.
	Lost Switch = "lost"

	// Standing is the expiry of a process's trust in its configuration.
	// Without it, keys are accepted however old the configuration is.
	Standing Switch = "standing"
)
