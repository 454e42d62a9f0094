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
	maxHeadBytes = 64 << 10 // status line and headers of a response
)

// HTTP returns an HTTP transport that dials through n and does not request
// compressed responses. A response without a length is not complete if its connection is reset.
func HTTP(n radishspoke.Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := n.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &failedWriteConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
