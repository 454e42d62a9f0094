package gossiper

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"radishspoke/internal/simulator"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// sink is a connection that counts the datagrams to each address.
type sink struct {
	net.PacketConn
	beacons map[string]int
}

// WriteTo implements net.PacketConn.
func (s *sink) WriteTo(data []byte, to net.Addr) (int, error) {
	m := &wire.Gossip{}
	if err := proto.Unmarshal(data, m); err != nil {
		return 0, err
	}
	if m.GetDigest() == 7 {
		s.beacons[to.String()]++
	}
	return len(data), nil
}

// TestBeacons checks that a process which others rely on reaches all of 102 peers in
// each beacon interval, though a round of its other datagrams takes thirteen intervals.
func TestBeacons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := ticker.NewMonotonicClock()
		conn := &sink{beacons: map[string]int{}}
		g := New(Settings{Process: "me"}, newTable("", clock), conn, clock, slog.New(slog.DiscardHandler), func(*wire.Gossip) {}, func(Update) {})
		g.incarnation = 1
		for i := range 102 {
			g.peers[fmt.Sprint("peer", i)] = &peer{incarnation: 1, address: fmt.Sprintf("10.0.0.%d:1", i)}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2100*time.Millisecond)
		defer cancel()
		sending := true
		g.RunBeacons(ctx, ticker.New(clock), func(m *wire.Gossip) bool {
			m.Digest = 7
			return sending
		})
		c.Assert(conn.beacons, qt.HasLen, 102)
		for address, n := range conn.beacons {
			c.Assert(n >= 4, qt.IsTrue, qt.Commentf("%d beacons to %s", n, address))
		}
	})
}

// TestLiveAmongMany checks that a peer is not taken for lost between two of its
// datagrams when a round takes 2.6 s, and that the loss of a peer that others rely on
// shows within a second all the same.
func TestLiveAmongMany(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: time.Hour}
	g, _ := newGossiper(clock)
	for i := range 101 {
		g.peers[fmt.Sprint("other", i)] = &peer{incarnation: 1, receivedAt: clock.At}
	}
	g.peers["watcher"] = &peer{incarnation: 1, receivedAt: clock.At}
	g.receive(&wire.Gossip{Process: "peer", Incarnation: 1, SentUs: 1})
	g.receive(&wire.Gossip{Process: "watcher", Incarnation: 1, SentUs: 1, Watching: true})
	live := func() (n int) {
		for _, p := range g.Peers() {
			if p.Live {
				n++
			}
		}
		return n
	}
	c.Assert(live(), qt.Equals, 2)
	clock.At += 1100 * time.Millisecond
	c.Assert(live(), qt.Equals, 1)
	clock.At += 1600 * time.Millisecond
	c.Assert(live(), qt.Equals, 1)
	clock.At += 4 * time.Second
	c.Assert(live(), qt.Equals, 0)
}
