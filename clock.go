package radishspoke

import (
	"context"
	"net"
	"time"
)

// Clock is a monotonic clock that also advances while the host is suspended.
type Clock interface {
	// Now returns the time elapsed since a fixed moment before the process
	// started.
	Now() time.Duration
}

// Timers is a clock with periodic ticks that components subscribe to.
type Timers interface {
	Clock

	// Every returns a channel that receives a tick each period, and a function
	// that ends the subscription. The channel buffers one tick; further ticks
	// are dropped until it is read.
	Every(period time.Duration) (<-chan Tick, func())
}

// Tick is one event of a periodic timer.
type Tick struct {
	At time.Duration // time of the tick, on the clock of the timer

	// Delay is the time since the previous tick minus the period, or 0 if that is
	// negative. Dropped ticks count as previous ticks, and for the first tick the
	// time since the subscription counts.
	Delay time.Duration
}

// Network dials and accepts connections. Addresses have the form IP:port.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}
