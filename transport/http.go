package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"radishspoke"
)

const (
	idleConns   = 64
	idleTimeout = 30 * time.Second
)

// HTTP returns a transport that dials through n.
func HTTP(n radishspoke.Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
