package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"radishspoke"
)

const (
	maxIdleConns = 64 // per address
	idleTimeout  = 30 * time.Second
)

// HTTP returns an HTTP transport that dials through n and does not request
// compressed responses.
func HTTP(n radishspoke.Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
