package assembler

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
	"radishspoke/platform"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// freePorts returns the first of two UDP ports in a row that are free.
func freePorts(c *qt.C) int {
	for range 50 {
		a, err := net.ListenPacket("udp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		port := a.LocalAddr().(*net.UDPAddr).Port
		b, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port+1))
		_ = a.Close()
		if err == nil {
			_ = b.Close()
			return port
		}
	}
	c.Fatal("no two free ports in a row")
	return 0
}

func fleetSettings(c *qt.C, store string) platform.Settings {
	return platform.Settings{
		Name: "front-1", Zone: "a", IP: "127.0.0.1", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0",
		FirstPort: freePorts(c), Store: store, Duties: store,
		Bounds: platform.Bounds{
			Grace: 8 * time.Second, Revoke: 5 * time.Second, StrictRevoke: true, RetryRatio: 0.2, RetrySlack: 56,
			Lease: 3 * time.Second, UsageWindow: 5 * time.Second,
		},
	}
}

func fleetEnv() Environment {
	return Environment{Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: slog.New(slog.DiscardHandler), Seed: 1}
}

const fleetConfig = `{"Version":3,"Routes":[{"Name":"r","Host":"shop.example","Prefix":"/p/","Kind":"unsafe","TimeoutMs":5000,
	"TargetLatencyMs":100,"Service":"desk","MaxAttempts":1}],"Services":[{"Name":"desk"}],
	"Tenants":[{"Name":"t","ApiKeys":["secret"],"PlainTokens":200,"RatePerS":1000000,"Burst":1000000}]}`

// caller is one caller with a kept connection.
type fleetCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

func (k *fleetCaller) ask(id string) (*http.Response, error) {
	_, err := fmt.Fprintf(k.conn, "POST /p/ HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: secret\r\nContent-Length: 0\r\n\r\n",
		fake.HeaderID, id, fake.HeaderKey)
	if err != nil {
		return nil, err
	}
	a, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return a, err
}

// TestFleetStop stops an entry on the platform while callers with kept
// connections go on asking: every request that is taken gets its whole answer,
// and callers are asked to reconnect before the end.
func TestFleetStop(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRowStore()
	server := httptest.NewServer(rows)
	defer server.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	target := fake.NewTarget("d1", func(*http.Request, []byte) *fake.TargetAnswer {
		time.Sleep(5 * time.Millisecond)
		return &fake.TargetAnswer{Status: 200, Header: http.Header{fake.HeaderStamp: {"x"}}, Body: "done"}
	})
	go target.Serve(l)
	rows.Put(platform.OperatorTable, platform.ConfigurationKey, []byte(fleetConfig))
	rows.Put(platform.InstanceTable, "d1", []byte(`{"Service":"desk","Address":"`+l.Addr().String()+`","Zone":"a","Slots":6,"State":"ready","Sequence":1}`))
	e, err := NewFleetEntry(fleetSettings(c, strings.TrimPrefix(server.URL, "http://")), fleetEnv(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Start(), qt.IsNil)
	for len(e.follower.Instances()) == 0 || e.follower.Table() == nil {
		time.Sleep(time.Millisecond)
	}
	ready := httptest.NewRecorder()
	e.serveReady(ready, nil)
	c.Assert(ready.Code, qt.Equals, 200)

	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	closes, cut := 0, 0
	stopped := make(chan struct{})
	address := e.listener.Addr().String()
	for i := range 8 {
		wg.Go(func() {
			for n := 0; ; n++ {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return // no longer listening
				}
				k := &fleetCaller{conn, bufio.NewReader(conn)}
				for {
					a, err := k.ask(fmt.Sprint(i, "-", n))
					mu.Lock()
					if err != nil {
						cut++
					} else {
						answers[a.StatusCode]++
					}
					mu.Unlock()
					if err != nil || a.Close {
						mu.Lock()
						closes++
						mu.Unlock()
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	go func() { e.Stop(); close(stopped) }()
	wg.Wait()
	<-stopped
	mu.Lock()
	defer mu.Unlock()
	c.Assert(cut, qt.Equals, 0)
	c.Assert(closes >= 8, qt.IsTrue)
	c.Assert(answers[200] > 8, qt.IsTrue)
	// The bucket of a team begins empty, so the first may be refused.
	c.Assert(len(answers) <= 3 && answers[502] == 0 && answers[504] == 0, qt.IsTrue, qt.Commentf("%v", answers))
	// What was known of usage is left behind.
	_, err = e.table.Read(t.Context(), "usage/part/front-1")
	c.Assert(err, qt.IsNil)
}

// TestFleetSidecar has two engines that generate: the sidecar of the first by
// address orders its own to read prompts, once.
func TestFleetSidecar(t *testing.T) {
	c := qt.New(t)
	rows := fake.NewRowStore()
	server := httptest.NewServer(rows)
	defer server.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	ordered := make(chan string, 16)
	role, orders := "decode", 0
	engine := fake.NewTarget("e1", func(r *http.Request, body []byte) *fake.TargetAnswer {
		if r.URL.Path == platform.ReportPath {
			return &fake.TargetAnswer{Status: 200, Body: fmt.Sprintf(`{"Phase":%q,"Sequence":%d}`, role, orders)}
		}
		role, orders = "prefill", orders+1
		ordered <- r.Header.Get(fake.HeaderInstance) + " " + string(body)
		return &fake.TargetAnswer{Status: 202}
	})
	go engine.Serve(l)
	row := `{"Service":"llm","Address":%q,"Zone":"a","State":"ready","Sequence":1,"Phase":"decode"}`
	rows.Put(platform.InstanceTable, "e1", fmt.Appendf(nil, row, l.Addr().String()))
	rows.Put(platform.InstanceTable, "e2", fmt.Appendf(nil, row, "127.0.0.9:1"))
	s := fleetSettings(c, strings.TrimPrefix(server.URL, "http://"))
	s.Engine, s.Group, s.First = l.Addr().String(), "llm", true
	d, err := NewFleetSidecar(s, fleetEnv(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Start(), qt.IsNil)
	c.Assert(<-ordered, qt.Equals, `e1 {"Op":"Phase","Phase":"prefill","Holder":"front-1","Fence":1,"ExpectedRevision":0}`)
	d.Stop()
	c.Assert(ordered, qt.HasLen, 0)
}
