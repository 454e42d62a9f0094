package httpclient_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
)

// TestResetDuringUpload guards against MIXED: a target answers a long upload without a length, and
// resets the connection while the upload is being written. The write takes note of the reset, so
// that the read of the body sees an ordinary end, and a part of the body counts as whole.
func TestResetDuringUpload(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go fake.ResetUploads(l)
	client := newClient()
	for i := range 200 {
		call := newCall("a")
		call.Method, call.Matches = "POST", nil
		call.Body = bytes.Repeat([]byte("x"), 64<<10<<(i%9))
		r, err := client.Do(t.Context(), l.Addr().String(), call)
		if err != nil {
			continue
		}
		time.Sleep(time.Duration(i%3) * 2 * time.Millisecond)
		b, err := io.ReadAll(r)
		_ = r.Close()
		c.Check(err, qt.IsNotNil, qt.Commentf("upload of %d bytes: %q was taken as whole", len(call.Body), b))
	}
}
