package transport

import (
	"context"
	"fmt"
	"net"
)

// TCP implements radishspoke.Network with the TCP stack of the host. The zero value
// is ready to use.
type TCP struct {
	dialer net.Dialer
}

// Dial opens a connection to address.
func (t *TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return c, nil
}

// Listen returns a listener that accepts connections at address.
func (t *TCP) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}
