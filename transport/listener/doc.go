// Package listener accepts sessions from peers and serves their streams.
//
// A session over which no probe has come for three times the probe timeout is
// closed: its peer is gone, or something between has lost the connection.
package listener
