package encoder

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"radishspoke/protocol/wire"
)

// Handler serves one stream whose Open has been read.
type Handler func(ctx context.Context, s *Stream) error

// Methods maps method names to handlers. It must not change once served.
type Methods map[string]Handler

// Message is a pointer to a generated message of type T.
type Message[T any] interface {
	*T
	proto.Message
}

// Unary makes a Handler of a function from one request to one reply.
func Unary[Q, P any, MQ Message[Q], MP Message[P]](f func(context.Context, MQ) (MP, error)) Handler {
	return func(ctx context.Context, s *Stream) error {
		q := MQ(new(Q))
		if err := s.Read(q); err != nil {
			return fmt.Errorf("read request: %w", err)
		}
		p, err := f(ctx, q)
		if err != nil {
			return fmt.Errorf("handle request: %w", err)
		}
		return s.Write(p)
	}
}

// Call sends one request on a new stream and reads the one reply.
func Call[P any, MP Message[P]](s *Stream, method string, q proto.Message) (MP, error) {
	if err := s.Write(&wire.Open{Method: method}); err != nil {
		return nil, fmt.Errorf("open %s: %w", method, err)
	}
	if err := s.Write(q); err != nil {
		return nil, fmt.Errorf("send %s: %w", method, err)
	}
	p := MP(new(P))
	if err := s.Read(p); err != nil {
		return nil, fmt.Errorf("reply to %s: %w", method, err)
	}
	return p, nil
}
