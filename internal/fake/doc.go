// Package fake implements fakes of the systems around radishspoke, for tests and
// for development.
//
// Platform, Engine and Ledger are fakes for radishspoke's own deployment: the
// services of the platform, a model engine, and a service that records orders. They
// implement the HTTP interfaces of the real systems. RowStore and Target are fakes
// for the deployment on an external platform: the store of the platform, and a
// target that can return malformed responses. Network is an in-memory network that
// can be partitioned.
//
// The fakes record the calls that they receive, so that tests can detect duplicate
// and conflicting effects.
package fake
