package encoder

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"radishspoke/protocol/wire"
)

// Handler serves a stream from which the Open message has been read.
type Handler func(ctx context.Context, s *Stream) error

// Methods maps method names to handlers. It must not be modified while it is served.
type Methods map[string]Handler

// Message is the constraint for a pointer to a protobuf message of type T.
type Message[T any] interface {
	*T
	proto.Message
}

// Unary returns a Handler that reads one request, calls f, and writes the reply that f
// returns. If f fails, no reply is written.
func Unary[Request, Reply any, RequestPtr Message[Request], ReplyPtr Message[Reply]](f func(context.Context, RequestPtr) (ReplyPtr, error)) Handler {
	return func(ctx context.Context, s *Stream) error {
		q := RequestPtr(new(Request))
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

// Call opens a method on a new stream, sends one request, and returns the reply, a
// message of type Reply.
func Call[Reply any, ReplyPtr Message[Reply]](s *Stream, method string, q proto.Message) (ReplyPtr, error) {
	if err := s.Write(&wire.Open{Method: method}); err != nil {
		return nil, fmt.Errorf("open %s: %w", method, err)
	}
	if err := s.Write(q); err != nil {
		return nil, fmt.Errorf("send %s: %w", method, err)
	}
	p := ReplyPtr(new(Reply))
	if err := s.Read(p); err != nil {
		return nil, fmt.Errorf("reply to %s: %w", method, err)
	}
	return p, nil
}
