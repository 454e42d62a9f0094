// Package meter records the usage of each answer once.
//
// An entry numbers the answers that have reached their callers whole and
// writes their sums into the table every few seconds, in one transaction with
// the highest number written. It tells the sidecar that gave an answer its
// number and usage, and, with each probe, the number up to which all is
// written. A sidecar keeps what lies above; when an entry comes back under
// another incarnation, or is gone from the platform's list, the sidecar writes
// it. Whoever makes up the figures passes over answers that the entry did
// write.
//
// Usage is lost only if an entry and the sidecar that gave the answer both end
// within one flush interval. It is never counted twice.
package meter
