// Package fake holds small stand-ins for the systems around radishspoke: the
// platform's services, a model engine, a ledger service, and a network that
// can be cut.
//
// They speak the protocols that the real systems publish, over HTTP, and
// count what reaches them so that a doubled or conflicting effect is seen.
package fake
