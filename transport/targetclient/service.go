package targetclient

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
	"radishspoke/transport/eventreader"
)

// RequestHeader is the header with the request's id in requests to services.
const RequestHeader = "Radishspoke-Request"

// Service is a client of a service. It implements radishspoke.Service.
type Service struct {
	base   string // start of the URL of every request
	client *http.Client
}

// NewService returns a client of the service at address, which dials through n and
// does not follow redirects.
func NewService(n radishspoke.Network, address string) *Service {
	t := transport.HTTP(n)
	return &Service{base: "http://" + address, client: &http.Client{
		Transport: t,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Close closes the idle connections.
func (s *Service) Close() { s.client.CloseIdleConnections() }

// Call sends a request to the service and returns its response. The error wraps
// radishspoke.ErrTargetRefused or radishspoke.ErrTargetFailed. The body of a stream of
// events is checked as by eventreader.Check.
func (s *Service) Call(ctx context.Context, id string, c radishspoke.Call) (radishspoke.Answer, error) {
	// The HTTP client may resend a request that has no body or has GetBody set.
	// It does not resend one whose body, even if empty, is of a type that it
	// does not know.
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
		return radishspoke.Answer{}, fmt.Errorf("%w: %s", classifyError(err), err.Error())
	}
	if err := transport.CheckHead(r); err != nil {
		_ = r.Body.Close()
		return radishspoke.Answer{}, fmt.Errorf("%w: %s", radishspoke.ErrTargetFailed, err.Error())
	}
	eventreader.Check(r)
	return radishspoke.Answer{Status: r.StatusCode, Header: r.Header, Body: r.Body}, nil
}

// classifyError returns radishspoke.ErrTargetRefused if the connection could not be
// opened, and radishspoke.ErrTargetFailed otherwise.
func classifyError(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return radishspoke.ErrTargetRefused
	}
	return radishspoke.ErrTargetFailed
}
