package httpclient_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
	"radishspoke/internal/simulator"
	"radishspoke/transport/httpclient"
)

// TestEndlessBytes checks that bytes without end which are no response are read only
// up to a bound, in each part of a response, and that the connection is closed.
func TestEndlessBytes(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, k := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "a"},
		{"no protocol", "", "\x00\xff"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"header of an interim response", "HTTP/1.1 100 Continue\r\nA: ", "a"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "5;a=", "b"},
		{"chunk extensions", chunked, "1;a=bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\nx\r\n"},
		{"trailer line", chunked + "0\r\nA: ", "a"},
		{"trailer", chunked + "0\r\n", "A: b\r\n"},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			n := &fake.Endless{Start: k.start, Repeated: k.repeated}
			client := httpclient.New(httpclient.Settings{}, n, &simulator.ManualClock{})
			call := newCall("a")
			call.Matches = nil
			r, err := client.Do(t.Context(), "target:1", call)
			if err == nil {
				_, err = io.Copy(io.Discard, r)
				c.Assert(r.Close(), qt.IsNil)
			}
			c.Assert(err, qt.IsNotNil)
			sent := n.Wait()
			c.Assert(sent < 256<<10, qt.IsTrue, qt.Commentf("%d bytes were read", sent))
		})
	}
}

// TestLongStray guards against LOST: the bodies of late answers to other requests were held in
// memory until their end, 1 MB for each connection.
func TestLongStray(t *testing.T) {
	c := qt.New(t)
	const length = 1 << 20 // bytes, which the script allocates once
	stray := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
	s := &fake.Script{Texts: []string{stray + fake.StrayResponse("a", 200)}}
	client := httpclient.New(httpclient.Settings{}, s, &simulator.ManualClock{})
	call := newCall("a")
	call.Matches = func(_ int, h http.Header, _ bool) bool { return len(h) > 1 }
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r, err := client.Do(t.Context(), "target:1", call)
	runtime.ReadMemStats(&after)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Close(), qt.IsNil)
	allocated := after.TotalAlloc - before.TotalAlloc
	c.Assert(allocated < length*3/2, qt.IsTrue, qt.Commentf("%d bytes were allocated", allocated))
}
