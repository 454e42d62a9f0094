// Package follower keeps a process's view of the fleet: the newest
// configuration, how sure it is that none is newer, and the list of targets.
//
// Configurations only move forward. A target that vanishes from the list is
// dropped at once, unless the list itself was unreachable shortly before: the
// platform drops entries during an outage that are back soon after it.
package follower
