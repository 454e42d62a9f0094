package gossiper

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/simulator"
	"radishspoke/protocol/wire"
)

// newGossiper returns a Gossiper that knows one peer, and the datagrams that it
// has handled.
func newGossiper(clock *simulator.ManualClock) (*Gossiper, *[]Update) {
	news := &[]Update{}
	g := New(Settings{Process: "me"}, nil, nil, clock, slog.New(slog.DiscardHandler), func(*wire.Gossip) {}, func(n Update) { *news = append(*news, n) })
	g.incarnation = 3
	g.peers["peer"] = &peer{incarnation: 1, receivedAt: clock.At}
	return g, news
}

// TestProof checks the conversion of times on the peer's clock to the receiver's
// clock, and that the delay of a datagram does not affect it.
func TestProof(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: 100 * time.Second}
	g, news := newGossiper(clock)
	m := &wire.Gossip{
		Process: "peer", Incarnation: 1, SentUs: 5_000_000, Version: 7, ProofAgeUs: 300_000, DigestAgeUs: 100_000,
		EchoUs: 99_000_000, HeldUs: 200_000, EchoIncarnation: 3,
	}
	g.receive(m)
	c.Assert((*news)[0].Proof, qt.Equals, 98900*time.Millisecond)
	c.Assert((*news)[0].ListReadAt, qt.Equals, 99100*time.Millisecond)
	// A later arrival does not change the converted times.
	clock.At += time.Minute
	m.SentUs++
	g.receive(m)
	c.Assert((*news)[1].Proof, qt.Equals, 98900*time.Millisecond)
}

// TestEchoOfEarlierIncarnation guards against an echo from before a power loss of
// this host: its clock has started anew, so the echoed time lies in the future.
func TestEchoOfEarlierIncarnation(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: 10 * time.Second}
	g, news := newGossiper(clock)
	g.receive(&wire.Gossip{
		Process: "peer", Incarnation: 1, SentUs: 1, Version: 7, EchoUs: 99_000_000, HeldUs: 1, EchoIncarnation: 2,
	})
	c.Assert(*news, qt.HasLen, 1)
	c.Assert((*news)[0].Proof, qt.Equals, time.Duration(0))
	c.Assert((*news)[0].ListReadAt, qt.Equals, time.Duration(0))
}

// TestOrder checks that datagrams that were overtaken, that are of an earlier
// incarnation or that come from an unknown process are ignored.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: 10 * time.Second}
	g, news := newGossiper(clock)
	for _, m := range []*wire.Gossip{
		{Process: "peer", Incarnation: 2, SentUs: 50},
		{Process: "peer", Incarnation: 2, SentUs: 40},
		{Process: "peer", Incarnation: 1, SentUs: 60},
		{Process: "stranger", Incarnation: 1, SentUs: 1},
		{Process: "peer", Incarnation: 3, SentUs: 1, Watching: true},
	} {
		g.receive(m)
	}
	c.Assert(*news, qt.HasLen, 2)
	c.Assert((*news)[1].Incarnation, qt.Equals, uint64(3))
	c.Assert(g.unknownPeer, qt.HasLen, 1) // the unknown peer has to be discovered
	c.Assert(g.Peers(), qt.DeepEquals, []Peer{{Process: "peer", Live: true, Watching: true, ReceivedAt: clock.At}})
	clock.At += 2 * time.Second
	c.Assert(g.Peers()[0].Live, qt.IsFalse)
	g.receive(&wire.Gossip{Process: "peer", Incarnation: 3, SentUs: 2, Leaving: true})
	c.Assert(g.Peers(), qt.HasLen, 0)
}
