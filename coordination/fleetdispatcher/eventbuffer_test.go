package fleetdispatcher

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/transport/budgeter"
)

// TestManyEndlessEvents guards against LOST: many streams at a time, each with an event that does not
// end, held 256 KB each beside what the budget of the process allows.
func TestManyEndlessEvents(t *testing.T) {
	const (
		streams = 100
		memory  = 40_000_000 // bytes, of which clients may hold 0.3
	)
	c := qt.New(t)
	var mu sync.Mutex
	held, tooLong, full := 0, 0, 0
	release := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b := eventBuffer{conn: budgeter.From(r.Context())}
		defer b.release()
		var err error
		for err == nil {
			err = b.append(make([]byte, 4<<10))
		}
		mu.Lock()
		held += cap(b.data)
		if err == errEventTooLong {
			tooLong++
		} else {
			full++
		}
		mu.Unlock()
		<-release
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	budget := budgeter.New(budgeter.Settings{Memory: memory, Descriptors: 4096}, slog.New(slog.DiscardHandler))
	go func() {
		_ = server.Serve(budget.Protect(server, l, budgeter.Port{Name: "test", Share: budgeter.MainShare}))
	}()
	defer func() { _ = server.Close() }()
	for range streams {
		conn, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
	}
	for last := -1; ; time.Sleep(200 * time.Millisecond) { // connections without room are closed
		mu.Lock()
		arrived := tooLong + full
		mu.Unlock()
		if arrived > 0 && arrived == last {
			break
		}
		last = arrived
	}
	close(release)
	mu.Lock()
	defer mu.Unlock()
	c.Assert(held < memory/2, qt.IsTrue, qt.Commentf("%d bytes were held", held))
	c.Assert(full > 0, qt.IsTrue)
	c.Assert(tooLong > 0, qt.IsTrue, qt.Commentf("%d streams had no room", full))
}
