package flooder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
	"radishspoke/transport"
	"radishspoke/transport/httpclient"
	"radishspoke/transport/ticker"
)

const (
	leavers     = 40
	leaveRounds = 4
	heldUpTime  = 200 * time.Millisecond // for which a process stands still after callers have left
)

// TestCallersLeaveBeforeTheirRequestsAreRead guards against GONE of issue 66: a process that was held
// up finds requests with the close of the caller behind them, and sends them on.
func TestCallersLeaveBeforeTheirRequestsAreRead(t *testing.T) {
	for n, k := range []struct {
		name    string
		process func(*Site) *Process
		send    func(c *qt.C, s *Site) func(id string, left bool) (leave func())
	}{
		{"entry, new connections", func(s *Site) *Process { return s.Entry }, callOver(false)},
		{"entry, open connections", func(s *Site) *Process { return s.Entry }, callOver(true)},
		{"sidecar", func(s *Site) *Process { return s.Sidecar }, orderOver},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := New(Settings{Program: program, Directory: c.TempDir(), Memory: statedMemory, Descriptors: statedDescriptors, Network: 50 + n})
			c.Assert(err, qt.IsNil)
			defer s.Close()
			send, p := k.send(c, s), k.process(s)
			for round := range leaveRounds {
				// The process keeps idle connections to the target from these.
				together(func(i int) { send(fmt.Sprint("stay-", round, "-", i), false)() })
				c.Assert(p.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
				together(func(i int) { send(fmt.Sprint("left-", round, "-", i), true)() })
				time.Sleep(heldUpTime)
				c.Assert(p.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
				c.Assert(Ask(Ports(s)["callers"], answerTimeout), qt.IsNil)
				c.Assert(Ask(Ports(s)["relay"], answerTimeout), qt.IsNil)
			}
			time.Sleep(settleTime)
			sent := 0
			for _, r := range s.Target.Requests() {
				if strings.HasPrefix(platform.RequestID(r.Header), "left-") {
					sent++
				}
			}
			c.Assert(sent, qt.Equals, 0, qt.Commentf("of %d requests whose callers had left", leavers*leaveRounds))
		})
	}
}

// together calls f for each leaver at the same time, and waits.
func together(f func(i int)) {
	var wg sync.WaitGroup
	for i := range leavers {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// callOver returns a function that sends requests to the entry: each over a connection of its own
// or, if open is set, over one on which a request was answered before. A caller that does not leave
// waits for the answer.
func callOver(open bool) func(c *qt.C, s *Site) func(id string, left bool) func() {
	return func(c *qt.C, s *Site) func(id string, left bool) func() {
		idle := make(chan net.Conn, leavers)
		return func(id string, left bool) func() {
			var conn net.Conn
			if open && left {
				conn = <-idle
			} else {
				var err error
				conn, err = net.Dial("tcp", Ports(s)["callers"].Address)
				c.Check(err, qt.IsNil)
			}
			h := platform.EncodeRequest(platform.CallerHeader{ID: id, Secret: key})
			var b strings.Builder
			_, _ = fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n", workPath, hostName) // a Builder returns no errors
			_ = h.Write(&b)
			_, err := io.WriteString(conn, b.String()+"\r\nbody")
			c.Check(err, qt.IsNil)
			return func() {
				if left {
					_ = conn.Close()
					return
				}
				buffer := make([]byte, 4<<10)
				_, err := conn.Read(buffer)
				c.Check(err, qt.IsNil)
				if open {
					idle <- conn
				} else {
					_ = conn.Close()
				}
			}
		}
	}
}

// orderOver returns a function that sends orders to the sidecar as an entry does.
func orderOver(c *qt.C, s *Site) func(id string, left bool) func() {
	clock, log := ticker.BootClock{}, slog.New(slog.DiscardHandler)
	client := relayer.NewClient(relayer.ClientSettings{Port: firstPort + 2, Link: 1},
		httpclient.New(httpclient.Settings{MaxIdle: leavers}, &transport.TCP{}, clock), clock, log)
	client.SetEngines([]radishspoke.Instance{{ID: "desk-1", Address: address(s.Sidecar.IP, targetPort), Role: radishspoke.PrefillRole}})
	return func(id string, left bool) func() {
		ctx, cancel := context.WithCancel(c.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = client.Do(ctx, "desk-1", &relayer.Order{ // the target prefills nothing
				Request:       relayer.Request{ID: id, Method: http.MethodPost, Target: workPath, Host: hostName, Header: platform.EncodeRequest(platform.CallerHeader{ID: id}), Body: []byte("body")},
				PrefillEngine: "desk-1", DecodeEngine: "desk-1", DecodeAddress: address(s.ip(serverHost), targetPort),
				OnTime: answerTimeout, Deadline: answerTimeout, LatestStart: answerTimeout, PrefillTimeout: answerTimeout,
			}, func(relayer.Stage, time.Duration) {})
		}()
		return func() {
			if left {
				time.Sleep(heldUpTime) // the order is in the buffer of the sidecar
				cancel()
			}
			<-done
			cancel()
		}
	}
}
