package gossiper

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/trial"
	"radishspoke/protocol/wire"
)

// pair makes a gossiper that knows one peer, and collects its news.
func pair(clock *trial.Clock) (*Gossiper, *[]News) {
	news := &[]News{}
	g := New(Settings{Process: "me"}, nil, nil, clock, slog.New(slog.DiscardHandler), func(*wire.Gossip) {}, func(n News) { *news = append(*news, n) })
	g.incarnation = 3
	g.peers["peer"] = &peer{incarnation: 1, heard: clock.At}
	return g, news
}

// TestProof converts a moment on the peer's clock to this one's.
func TestProof(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: 100 * time.Second}
	g, news := pair(clock)
	m := &wire.Gossip{
		Process: "peer", Incarnation: 1, SentUs: 5_000_000, Version: 7, ProofAgeUs: 300_000, DigestAgeUs: 100_000,
		EchoUs: 99_000_000, HeldUs: 200_000, EchoIncarnation: 3,
	}
	g.receive(m)
	c.Assert((*news)[0].Proof, qt.Equals, 98900*time.Millisecond)
	c.Assert((*news)[0].Listed, qt.Equals, 99100*time.Millisecond)
	// However late the datagram comes, it says the same.
	clock.At += time.Minute
	m.SentUs++
	g.receive(m)
	c.Assert((*news)[1].Proof, qt.Equals, 98900*time.Millisecond)
}

// TestEchoOfEarlierLifetime has a host that lost power: its clock started anew,
// and the peer echoes a time of the old one, which lies in the future now.
func TestEchoOfEarlierLifetime(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: 10 * time.Second}
	g, news := pair(clock)
	g.receive(&wire.Gossip{
		Process: "peer", Incarnation: 1, SentUs: 1, Version: 7, EchoUs: 99_000_000, HeldUs: 1, EchoIncarnation: 2,
	})
	c.Assert(*news, qt.HasLen, 1)
	c.Assert((*news)[0].Proof, qt.Equals, time.Duration(0))
	c.Assert((*news)[0].Listed, qt.Equals, time.Duration(0))
}

// TestOrder has datagrams that overtake each other, of an earlier lifetime, and
// of a process that is not known.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: 10 * time.Second}
	g, news := pair(clock)
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
	c.Assert(g.unknown, qt.HasLen, 1) // the stranger is to be discovered
	c.Assert(g.Peers(), qt.DeepEquals, []Peer{{Process: "peer", Live: true, Watching: true, Heard: clock.At}})
	clock.At += 2 * time.Second
	c.Assert(g.Peers()[0].Live, qt.IsFalse)
	g.receive(&wire.Gossip{Process: "peer", Incarnation: 3, SentUs: 2, Leaving: true})
	c.Assert(g.Peers(), qt.HasLen, 0)
}
