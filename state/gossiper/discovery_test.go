package gossiper_test

import (
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/platform"
	"radishspoke/protocol/wire"
	"radishspoke/state/gossiper"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// start runs a Gossiper on the loopback interface and returns a function that
// stops it. Updates are sent to got, and dropped while got is full or nil.
func start(c *qt.C, store, name string, got chan<- gossiper.Update) (stop func()) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	clock := ticker.BootClock{}
	client := platform.New(platform.Settings{Store: store}, &transport.TCP{}, clock)
	g := gossiper.New(gossiper.Settings{Process: name, Address: conn.LocalAddr().String(), Interval: 5 * time.Millisecond},
		platform.NewTable(client), conn, clock, slog.New(slog.DiscardHandler),
		func(m *wire.Gossip) { m.Version = 1 }, func(u gossiper.Update) {
			select {
			case got <- u:
			default:
			}
		})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, f := range []func(){func() { g.RunDiscovery(ctx) }, func() { g.RunSend(ctx, ticker.New(clock)) }, g.RunReceive} {
		go func() { f(); done <- struct{}{} }()
	}
	return func() {
		cancel()
		_ = conn.Close()
		for range 3 {
			<-done
		}
	}
}

// TestDiscovery starts two entries one after the other, and restarts the second.
// The first must receive datagrams from both incarnations of the second.
func TestDiscovery(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(fake.NewRowStore())
	c.Cleanup(server.Close)
	store := strings.TrimPrefix(server.URL, "http://")
	got := make(chan gossiper.Update, 1)
	defer start(c, store, "a", got)()
	await := func(process string, after uint64) uint64 {
		timeout := time.After(time.Minute)
		for {
			select {
			case u := <-got:
				if u.Process == process && u.Incarnation > after && u.Proof > 0 {
					return u.Incarnation
				}
			case <-timeout:
				c.Fatalf("no datagram received from an incarnation of %s after %d", process, after)
			}
		}
	}
	stop := start(c, store, "b", nil)
	first := await("b", 0)
	stop()
	defer start(c, store, "b", nil)() // its next incarnation
	await("b", first)
}

// TestOddPeers guards against rows of entries whose address can't be sent to or has to be
// resolved, which holds up the datagrams to all, and that count as entries with a share of
// each limit.
func TestOddPeers(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(fake.NewRowStore())
	c.Cleanup(server.Close)
	clock := ticker.BootClock{}
	table := platform.NewTable(platform.New(platform.Settings{Store: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, clock))
	for name, value := range map[string]string{
		"sound": `{"address":"10.0.0.1:1","incarnation":1}`, "none": `{"incarnation":1}`, "name": `{"address":"host.example:1","incarnation":1}`,
		"port": `{"address":"10.0.0.1:70000","incarnation":1}`, "zero": `{"address":"10.0.0.1:0","incarnation":1}`, "any": `{"address":"0.0.0.0:1","incarnation":1}`,
		"last": `{"address":"10.0.0.1:1","incarnation":18446744073709551615}`, "text": `{"address":1}`, "nothing": ``,
	} {
		c.Assert(table.Commit(c.Context(), name, radishspoke.Write{Key: "entry/" + name, Value: []byte(value)}), qt.IsNil)
	}
	g := gossiper.New(gossiper.Settings{Process: "own", Address: "10.0.0.2:1"}, table, nil, clock, slog.New(slog.DiscardHandler), func(*wire.Gossip) {}, func(gossiper.Update) {})
	ctx, cancel := context.WithCancel(c.Context())
	done := make(chan struct{})
	go func() { defer close(done); g.RunDiscovery(ctx) }()
	for g.Incarnation() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	var names []string
	for _, p := range g.Peers() {
		names = append(names, p.Process)
	}
	c.Assert(names, qt.DeepEquals, []string{"sound"})
}
