// Package voucher tells whether a process may go on trusting what it knows
// while it has no fresh word from the platform's table service.
//
// A process that is cut off can't tell an outage of the service from its own
// isolation. It keeps its standing while a majority of the entries, itself
// among them, have answered within the bound and none of them has fresher
// word or a newer version. A change counts as in force only once a majority
// of the entries has it, so a group that keeps its standing by vouching always
// has a member in common with those that know of the change.
package voucher
