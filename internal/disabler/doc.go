// Package disabler disables single mechanisms of the system, to check that the
// tests that cover a mechanism fail without it.
//
// Mechanisms can be disabled only in builds with the tag "breakage". In all
// other builds Disabled is constant, and the compiler removes the code that depends on
// it.
package disabler

// Mechanism identifies a mechanism that can be disabled.
type Mechanism string

// The mechanisms that can be disabled.
const (
	// Deduplication is the deduplication of requests by a sidecar. Without it, a
	// sidecar runs a repeated request again, although it has a record of it.
	Deduplication Mechanism = "records"

	// Tombstones is the record that a sidecar keeps of a request that it has
	// refused. Without it, the request can still run if it arrives again.
	Tombstones Mechanism = "tombstones"

	// IncarnationCheck is the check of a sidecar that a request was addressed to
	// its own incarnation. Without it, a restarted sidecar answers for its
	// predecessor, whose records it does not have.
	IncarnationCheck Mechanism = "incarnations"

	// Resumption is the resumption of an answer after the part that has already been
	// received. Without it, each attempt starts at the beginning.
	Resumption Mechanism = "offsets"

	// EndCheck is the distinction between a lost stream and the end of an answer.
	// Without it, the loss of the stream counts as the end of the answer.
	EndCheck Mechanism = "ends"

	// Claims is the claim that ties an idempotency key to one execution.
	// Without it, requests with a key run without a claim.
	Claims Mechanism = "claims"

	// BudgetOwnership is the exclusive ownership of a team's budget. Without it,
	// every entry acts as the owner of every budget.
	BudgetOwnership Mechanism = "tenures"

	// GrantExpiry is the expiry of grants. Without it, a grant can be charged at
	// any time.
	GrantExpiry Mechanism = "validity"

	// RefundLimit is the limit on the refund of a grant. Without it, the refund
	// also includes the tokens that would have overflowed the bucket if they had
	// not been granted.
	RefundLimit Mechanism = "refunds"

	// ExclusiveVotes is the rule that a voter grants a right to one holder at a
	// time. Without it, a voter also grants a right while its grant to another
	// holder is still valid.
	ExclusiveVotes Mechanism = "votes"

	// UsageBackup is the backup of usage by sidecars: when an entry has ended, a
	// sidecar writes the usage of the answers that the entry has not written.
	// Without it, that usage is lost.
	UsageBackup Mechanism = "witnesses"

	// LeaseSendTime is the rule that the duration of a lease counts from a time
	// just before its renewal is sent. Without it, the duration counts from the
	// response of the store.
	LeaseSendTime Mechanism = "sends"

	// WriteResolution is the check whether a write whose response was lost took
	// effect. Without it, such a write counts as failed.
	WriteResolution Mechanism = "lost"

	// ConfigurationExpiry is the rule that a process stops trusting its
	// configuration some time after the last proof that it is current. Without
	// it, keys are accepted however old the configuration is.
	ConfigurationExpiry Mechanism = "standing"
)
