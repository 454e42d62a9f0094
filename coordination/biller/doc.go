// Package biller counts the requests that began to run and reports the counts,
// window by window.
//
// Every entry counts its own requests and sends the counts to the other entries,
// so that the counts of a killed entry are not lost. The entry that holds the
// usage lease adds up the counts of a closed window, freezes them in one row by
// a conditional write, and reports the content of the row. The next holder of
// the lease first reports the frozen counts again, unless the note of the lease tells that
// they were reported, and only then freezes the next window. No window can be reported with two different counts.
//
// If the store has come back from an older copy, the frozen row does not tell what was
// reported since. A holder whose lease has lasted from before knows, and goes on. Another
// one reports only windows that were not yet due when it read the row.
//
// The package runs on an external platform. Its counterparts in radishspoke's own
// deployment are meter and reporter, which bill tokens instead of requests.
package biller
