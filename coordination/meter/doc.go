// Package meter records the usage of each answer once.
//
// An entry numbers the answers that have reached their callers completely. At
// every FlushInterval it writes the sums of their usage to the platform's table, in
// one transaction with the number of the last answer included. It sends the number
// and usage of each answer to the sidecar that produced the answer, and sends
// the number of the last written answer with each probe. The sidecar keeps the
// answers above that number. When the entry returns with another incarnation, or
// is no longer in the platform's list, the sidecar writes them to the table.
// Package reporter skips those that the entry has written itself.
//
// Usage is lost only if an entry and the sidecar that produced the answer both
// end within one flush interval, or if the entry ends while it has more than
// 65,536 unwritten answers from one sidecar, which keeps no more for each entry.
// Usage is never counted twice.
//
// The package runs in radishspoke's own deployment. On an external platform,
// package biller counts requests instead.
package meter
