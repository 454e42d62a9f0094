// Package connector keeps one multiplexed session to each peer and finds out
// when it has gone silent.
//
// A session is a yamux session over one connection. Its first exchange is a
// probe, and a probe follows each interval; a probe that gets no reply in
// time closes the session, which fails every stream on it, and the next Open
// dials anew. The TCP stack's own timeouts are never waited for.
package connector
