// Package listener accepts the sessions that package connector opens, and serves
// their streams.
//
// A session is closed if no probe has arrived for three times the probe timeout,
// because its peer has then failed or the connection has been lost.
package listener
