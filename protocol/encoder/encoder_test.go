package encoder_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
)

// buffer is a byte stream in memory.
type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

func TestMessages(t *testing.T) {
	c := qt.New(t)
	b := &buffer{}
	s := encoder.New(b)
	sent := []*wire.Frame{
		{RequestId: "a", Attempt: 1, Tokens: []string{"x", "y"}},
		{},
		{RequestId: "b", Offset: 1 << 40, Data: bytes.Repeat([]byte("z"), 100_000)},
	}
	for _, m := range sent {
		c.Assert(s.Write(m), qt.IsNil)
	}
	for _, m := range sent {
		got := &wire.Frame{}
		c.Assert(s.Read(got), qt.IsNil)
		c.Assert(got.String(), qt.Equals, m.String())
	}
	c.Assert(s.Read(&wire.Frame{}), qt.ErrorIs, io.EOF)
	c.Assert(s.Write(&wire.Upload{Data: make([]byte, encoder.MaxMessage+1)}), qt.ErrorIs, encoder.ErrTooLong)
}

// TestTruncatedMessage checks that the end of the stream inside a message is reported
// as io.ErrUnexpectedEOF, and not as the regular end of the stream.
func TestTruncatedMessage(t *testing.T) {
	c := qt.New(t)
	b := &buffer{}
	c.Assert(encoder.New(b).Write(&wire.Open{Method: strings.Repeat("m", 100)}), qt.IsNil)
	b.Truncate(50)
	err := encoder.New(b).Read(&wire.Open{})
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

func TestUnary(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	h := encoder.Unary(func(_ context.Context, q *wire.Vote) (*wire.VoteReply, error) {
		return &wire.VoteReply{SetVersion: q.SetVersion + 1}, nil
	})
	done := make(chan error, 1)
	go func() {
		s := encoder.New(server)
		_ = s.Read(&wire.Open{})
		done <- h(context.Background(), s)
	}()
	r, err := encoder.Call[wire.VoteReply](encoder.New(client), "vote", &wire.Vote{SetVersion: 6})
	c.Assert(err, qt.IsNil)
	c.Assert(r.SetVersion, qt.Equals, int64(7))
	c.Assert(<-done, qt.IsNil)
}

func FuzzRead(f *testing.F) {
	b := &buffer{}
	if err := encoder.New(b).Write(&wire.Frame{RequestId: "r", Tokens: []string{"a"}, End: &wire.End{Length: 1}}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(_ *testing.T, data []byte) {
		in := &buffer{}
		in.Write(data)
		s := encoder.New(in)
		var err error
		for err == nil {
			err = s.Read(&wire.Frame{})
		}
	})
}
