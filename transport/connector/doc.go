// Package connector keeps one multiplexed session to each peer and detects when a
// peer no longer responds. It is used in radishspoke's own deployment. On an external
// platform, processes exchange their state with package gossiper and make calls with
// package httpclient.
//
// A session is a yamux session over one connection. A probe is sent when it starts
// and then at each probe interval. If the reply to a probe does not arrive in time,
// the session is closed, its open streams fail, and the next call of Open dials a
// new session. A failed peer is thus detected without waiting for the much longer
// timeouts of the TCP stack.
package connector
