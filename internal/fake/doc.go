// Package fake implements small stand-ins for the systems around radishspoke:
// the services of the platform, a model engine, a target at the level of HTTP
// messages, a service that records orders, and an in-memory network that can be
// partitioned.
//
// They serve the HTTP protocols that the real systems publish. They count what
// reaches them, so that tests can detect duplicate and conflicting effects.
package fake
