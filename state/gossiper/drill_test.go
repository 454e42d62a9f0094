package gossiper

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/internal/simulator"
	"radishspoke/platform"
	"radishspoke/protocol/wire"
	"radishspoke/transport"
)

// newTable returns a table of the store at a URL.
func newTable(url string, clock radishspoke.Clock) *platform.Table {
	return platform.NewTable(platform.New(platform.Settings{Store: strings.TrimPrefix(url, "http://")}, &transport.TCP{}, clock))
}

// newEntry returns the Gossiper of an entry that neither sends nor receives.
func newEntry(url, name, address string, clock radishspoke.Clock) *Gossiper {
	return New(Settings{Process: name, Address: address}, newTable(url, clock), nil, clock, slog.New(slog.DiscardHandler),
		func(*wire.Gossip) {}, func(Update) {})
}

// TestIncarnationAfterDrill guards against an incarnation that is given out twice, or changes
// for a process that runs on, after the store has come back from an older copy: what the process
// has counted is then missed, or counts twice.
func TestIncarnationAfterDrill(t *testing.T) {
	c := qt.New(t)
	store := fake.NewRowStore()
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	clock := &simulator.ManualClock{At: time.Hour}
	start := func() *Gossiper { return newEntry(server.URL, "a", "127.0.0.1:1", clock) }
	discover := func(g *Gossiper) { c.Assert(g.discover(c.Context()), qt.IsNil) }
	empty := store.Backup()
	discover(start())
	copied := store.Backup()
	seen := map[uint64]bool{}
	var last uint64
	for _, b := range []fake.Backup{copied, copied, empty, copied, empty} {
		g := start()
		discover(g)
		incarnation := g.Incarnation()
		c.Assert(seen[incarnation], qt.IsFalse, qt.Commentf("incarnation %d", incarnation))
		c.Assert(incarnation > last, qt.IsTrue)
		seen[incarnation], last = true, incarnation
		store.Restore(b)
		discover(g)
		c.Assert(g.Incarnation(), qt.Equals, incarnation)
		discover(g)
		c.Assert(g.Incarnation(), qt.Equals, incarnation)
	}
}

// TestOutdatedRowOfPeer guards against an entry that is dropped, or sent to at an earlier
// address, because the store has come back from a copy in which it had left.
func TestOutdatedRowOfPeer(t *testing.T) {
	c := qt.New(t)
	store := fake.NewRowStore()
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	clock := &simulator.ManualClock{At: time.Hour}
	start := func(name, address string) *Gossiper { return newEntry(server.URL, name, address, clock) }
	a := start("a", "127.0.0.1:1")
	c.Assert(start("b", "127.0.0.1:2").discover(c.Context()), qt.IsNil)
	c.Assert(a.discover(c.Context()), qt.IsNil)
	clock.At += time.Minute
	c.Assert(a.discover(c.Context()), qt.IsNil) // marks b as left
	copied := store.Backup()
	c.Assert(start("b", "127.0.0.1:3").discover(c.Context()), qt.IsNil)
	c.Assert(a.discover(c.Context()), qt.IsNil)
	store.Restore(copied)
	c.Assert(a.discover(c.Context()), qt.IsNil)
	peers := a.Peers()
	c.Assert(peers, qt.HasLen, 1)
	c.Assert(peers[0].Address, qt.Equals, "127.0.0.1:3")
}

// TestEraOfPeer guards against an entry that makes no call to the store, and whose row stays
// lost after a drill of which others tell: an entry that starts does not know it.
func TestEraOfPeer(t *testing.T) {
	c := qt.New(t)
	store := fake.NewRowStore()
	server := httptest.NewServer(store)
	c.Cleanup(server.Close)
	clock := &simulator.ManualClock{At: time.Hour}
	g := newEntry(server.URL, "a", "127.0.0.1:1", clock)
	g.peers["b"] = &peer{incarnation: 1, receivedAt: clock.At}
	c.Assert(g.discover(c.Context()), qt.IsNil)
	store.Restore(fake.NewRowStore().Backup())
	told := &wire.Gossip{Process: "b", Incarnation: 1, SentUs: 1, StoreEra: 1}
	g.receive(told)
	g.await(c.Context(), time.Hour, nil) // returns at once
	c.Assert(g.discover(c.Context()), qt.IsNil)
	rows, err := newTable(server.URL, clock).List(c.Context(), prefix)
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 1)
	c.Assert(g.address(g.peers["b"]).body.GetStoreEra(), qt.Equals, int64(1))
	g.receive(told)
	c.Assert(g.laterEra, qt.HasLen, 0)
}
