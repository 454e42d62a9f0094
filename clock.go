package radishspoke

import (
	"context"
	"net"
	"time"
)

// Clock is a monotonic clock that goes on while the host is suspended.
type Clock interface {
	// Now returns the time since a fixed moment before the process began.
	Now() time.Duration
}

// Timers is the timer service that parts subscribe to.
type Timers interface {
	Clock

	// Every returns a channel that gets a tick each period, and a function
	// that ends the subscription. The channel holds one tick; a tick that
	// meets a full channel is dropped.
	Every(period time.Duration) (<-chan Tick, func())
}

// Tick is one event of the timer service.
type Tick struct {
	At time.Duration

	// Paused is how much longer than its period the tick took to come.
	Paused time.Duration
}

// Network opens and accepts connections. Addresses are IP:port.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}
