//go:build review

package main

import (
	"context"
	"net"
	"time"
)

// tcp dials for the stand-ins' own reads of the store.
type tcp struct{ dialer net.Dialer }

// Dial implements radishspoke.Network.
func (t *tcp) Dial(ctx context.Context, address string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", address)
}

// Listen implements radishspoke.Network.
func (t *tcp) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// steady implements radishspoke.Clock.
type steady struct{}

var began = time.Now()

// Now implements radishspoke.Clock.
func (steady) Now() time.Duration { return time.Since(began) }
