package flooder

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
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

	leftHeader = "X-Left" // of the requests whose callers leave
)

// TestCallersLeaveBeforeTheirRequestsAreRead guards against GONE of issue 66: a process that was held
// up finds requests with the close of the caller behind them, and sends them on.
func TestCallersLeaveBeforeTheirRequestsAreRead(t *testing.T) {
	stay := append(head("POST", workPath, "Content-Length: 4"), "\r\nbody"...)
	left := append(head("POST", workPath, "Content-Length: 4", leftHeader+": 1"), "\r\nbody"...)
	for n, k := range []struct {
		name          string
		open, sidecar bool
	}{{name: "entry, new connections"}, {name: "entry, open connections", open: true}, {name: "sidecar", sidecar: true}} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := New(Settings{Program: program, Directory: c.TempDir(), Memory: statedMemory, Descriptors: statedDescriptors, Network: 50 + n})
			c.Assert(err, qt.IsNil)
			defer s.Close()
			p, address, order := s.Entry, Ports(s)["callers"].Address, orders(s)
			if k.sidecar {
				p = s.Sidecar
			}
			for range leaveRounds {
				// The process keeps idle connections to the target from these.
				crowd := Gather(address, leavers, Client{Head: stay, Reads: true})
				if k.sidecar {
					together(func() { order(c.Context(), http.Header{}) })
				}
				time.Sleep(heldUpTime)
				suspend(c, p)
				switch {
				case k.sidecar:
					ctx, cancel := context.WithTimeout(c.Context(), heldUpTime)
					together(func() { order(ctx, http.Header{leftHeader: {"1"}}) })
					cancel()
				case k.open:
					crowd.Send(left)
				default:
					Gather(address, leavers, Client{Head: left}).Close()
				}
				crowd.Close()
				time.Sleep(heldUpTime)
				c.Assert(p.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
				for _, port := range []string{"callers", "relay"} {
					c.Assert(Ask(Ports(s)[port], answerTimeout), qt.IsNil)
				}
			}
			time.Sleep(settleTime)
			sent := 0
			for _, r := range s.Target.Requests() {
				sent += len(r.Header[leftHeader])
			}
			c.Assert(sent, qt.Equals, 0, qt.Commentf("of %d requests whose callers had left", leavers*leaveRounds))
		})
	}
}

// suspend stops a process and waits until all of its threads stand still, so that it can't have read
// what is sent to it afterwards.
func suspend(c *qt.C, p *Process) {
	c.Assert(p.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	for running := true; running; time.Sleep(time.Millisecond) {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
		c.Assert(err, qt.IsNil)
		running = len(files) == 0
		for _, f := range files {
			data, err := os.ReadFile(f)
			c.Assert(err, qt.IsNil)
			running = running || !bytes.HasPrefix(data[bytes.LastIndexByte(data, ')')+1:], []byte(" T"))
		}
	}
}

// together calls f as often as there are leavers, at the same time, and waits.
func together(f func()) {
	var wg sync.WaitGroup
	for range leavers {
		wg.Go(f)
	}
	wg.Wait()
}

// orders returns a function that sends an order to the sidecar as an entry does, and waits for the
// answer or the end of the context. The request has the given header.
func orders(s *Site) func(ctx context.Context, h http.Header) {
	clock, log := ticker.BootClock{}, slog.New(slog.DiscardHandler)
	client := relayer.NewClient(relayer.ClientSettings{Port: firstPort + 2, Link: 1},
		httpclient.New(httpclient.Settings{MaxIdle: leavers}, &transport.TCP{}, clock), clock, log)
	client.SetEngines([]radishspoke.Instance{{ID: "desk-1", Address: address(s.Sidecar.IP, targetPort), Role: radishspoke.PrefillRole}})
	return func(ctx context.Context, h http.Header) {
		platform.SetID(h, "order")
		_, _, _ = client.Do(ctx, "desk-1", &relayer.Order{ // the target prefills nothing
			Request:       relayer.Request{ID: "order", Method: http.MethodPost, Target: workPath, Host: hostName, Header: h, Body: []byte("body")},
			PrefillEngine: "desk-1", DecodeEngine: "desk-1", DecodeAddress: address(s.ip(serverHost), targetPort),
			OnTime: answerTimeout, Deadline: answerTimeout, LatestStart: answerTimeout, PrefillTimeout: answerTimeout,
		}, func(relayer.Stage, time.Duration) {})
	}
}
