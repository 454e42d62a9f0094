// Package meter records the usage of each answer once.
//
// An entry numbers the answers that have reached their callers completely. Every
// few seconds it writes their sums to the table, in one transaction with the
// highest number written. It also sends each answer's number and usage to the
// sidecar that produced the answer, and with each probe the highest number
// written. The sidecar keeps the answers above that number. When the entry
// returns with another incarnation, or is no longer in the platform's list, the
// sidecar writes them to the table. The reporter skips those that the entry has
// written itself.
//
// Usage is lost only if an entry and the sidecar that produced the answer both
// end within one flush interval. It is never counted twice.
package meter
