package adapter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport"
)

// RequestHeader carries the request's id to the service.
const RequestHeader = "Radishspoke-Request"

// Service is the client of a plain service. It implements
// radishspoke.Service.
type Service struct {
	base   string
	client *http.Client
}

// NewService returns a client of the service at address.
func NewService(n radishspoke.Network, address string) *Service {
	t := transport.HTTP(n)
	return &Service{base: "http://" + address, client: &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Close drops idle connections.
func (s *Service) Close() { s.client.CloseIdleConnections() }

// Call passes a request on.
func (s *Service) Call(ctx context.Context, id string, c radishspoke.Call) (radishspoke.Answer, error) {
	// A body without GetBody, even an empty one, keeps the client from
	// sending a request twice on its own.
	body := io.Reader(strings.NewReader(""))
	if c.Body != nil {
		body = c.Body
	}
	q, err := http.NewRequestWithContext(ctx, c.Method, s.base+c.Path, io.NopCloser(body))
	if err != nil {
		return radishspoke.Answer{}, fmt.Errorf("%w: %s", radishspoke.ErrTargetRefused, err.Error())
	}
	for name, values := range c.Header {
		q.Header[name] = values
	}
	q.Header.Set(RequestHeader, id)
	r, err := s.client.Do(q)
	if err != nil {
		return radishspoke.Answer{}, fmt.Errorf("%w: %s", kindOf(err), err.Error())
	}
	return radishspoke.Answer{Status: r.StatusCode, Header: r.Header, Body: r.Body}, nil
}

// kindOf tells a connection that could not be made from one that failed.
func kindOf(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return radishspoke.ErrTargetRefused
	}
	return radishspoke.ErrTargetFailed
}
