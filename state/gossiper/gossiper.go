package gossiper

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// Settings holds the identity and the intervals of a Gossiper.
type Settings struct {
	Process string // the name of this process
	Address string // the UDP address at which it receives datagrams

	// Interval is the time between two rounds of datagrams. Zero means 200 ms.
	Interval time.Duration

	// Fanout is the maximum number of peers that are sent a datagram in one
	// interval. Zero means 8.
	Fanout int

	// LiveTimeout is how long after its last datagram a peer counts as live, if
	// all peers are sent a datagram in one interval, and for peers that send
	// beacons. It grows with the number of intervals that a round takes. Zero means
	// 1 s.
	LiveTimeout time.Duration

	// BeaconInterval is the time between two beacons: short datagrams that a process
	// which others rely on sends to all peers. Zero means 400 ms.
	BeaconInterval time.Duration

	// ForgetAfter is how long after its last datagram a peer's row is marked as
	// left. Zero means 20 s.
	ForgetAfter time.Duration

	// DiscoveryInterval is the time between two reads of the peers' rows. Zero
	// means 15 s. A datagram from an unknown peer causes an earlier read.
	DiscoveryInterval time.Duration
}

const (
	defaultInterval          = 200 * time.Millisecond
	defaultFanout            = 8
	defaultLiveTimeout       = time.Second
	defaultBeaconInterval    = 400 * time.Millisecond
	defaultForgetAfter       = 20 * time.Second
	defaultDiscoveryInterval = 15 * time.Second
	startInterval            = 500 * time.Millisecond // discovery interval during startPeriod and after errors
	startPeriod              = 5 * time.Second        // after New; other peers may be starting as well
	maxDatagram              = 60 << 10               // bytes
	prefix                   = "entry/"               // of the keys of the rows
)

func (s *Settings) setDefaults() {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Fanout == 0 {
		s.Fanout = defaultFanout
	}
	if s.LiveTimeout == 0 {
		s.LiveTimeout = defaultLiveTimeout
	}
	if s.BeaconInterval == 0 {
		s.BeaconInterval = defaultBeaconInterval
	}
	if s.ForgetAfter == 0 {
		s.ForgetAfter = defaultForgetAfter
	}
	if s.DiscoveryInterval == 0 {
		s.DiscoveryInterval = defaultDiscoveryInterval
	}
}

// row is the value of an entry's row.
type row struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Left        bool   `json:"left,omitempty"` // another entry received no datagram from this one for ForgetAfter
}

// Update is the content of one received datagram, with its times converted to
// the clock of this process.
type Update struct {
	Process     string
	Incarnation uint64
	Version     int64

	// Proof is a time at which the configuration of Version was the newest, or
	// 0 if no such time is known.
	Proof time.Duration

	// ListReadAt is a lower bound of the time at which the peer read the list of
	// targets that has the message's digest, or 0 if it is not known.
	ListReadAt time.Duration

	Message *wire.Gossip
}

// Peer is the state of another entry as known to this process.
type Peer struct {
	Process  string
	Address  string // the UDP address at which it receives datagrams
	Live     bool   // its last datagram is more recent than LiveTimeout
	Watching bool   // it is live and watches the platform

	// Configuration is the version of the configuration that it last reported, or 0.
	Configuration int64

	// ReceivedAt is the time at which the last datagram was received, or the
	// peer was discovered.
	ReceivedAt time.Duration

	// Entries is the number of entries that it last stated, or 0.
	Entries int
}

// peer is the internal state of another entry.
type peer struct {
	address     string
	version     int64 // of the peer's row
	incarnation uint64
	receivedAt  time.Duration // of the last datagram, or of the discovery
	received    bool          // a datagram was received
	unread      bool          // known from its datagrams only, not from its row
	entries     int64         // number of entries that it last stated, or 0
	sent        time.Duration // of the last datagram, on the peer's clock
	leaving     bool
	watching    bool

	configuration int64 // version that the peer last reported
	era           int64 // era of the store that the peer last reported
}

// Gossiper exchanges datagrams with the other entries. Use New to create one.
type Gossiper struct {
	settings Settings
	table    radishspoke.Table
	conn     net.PacketConn
	clock    radishspoke.Clock
	log      *slog.Logger
	compose  func(*wire.Gossip)
	handle   func(Update)

	unknownPeer chan struct{} // capacity 1; a value reports a datagram from an unknown peer
	laterEra    chan struct{} // capacity 1; a value reports that a peer knows a later era of the store

	mu          sync.Mutex
	incarnation uint64 // 0 until the row of this process is written
	peers       map[string]*peer
	next        int           // index of the peer to send to next, modulo the number of peers
	created     time.Duration // when New was called
	readAt      time.Duration // when the rows were last read, by the time of the call; 0 before
	leaving     bool
}

// New returns a Gossiper that sends and receives on conn. It calls compose once
// per round to set the fields that all datagrams share, and handle with each
// datagram received from a known peer.
func New(s Settings, t radishspoke.Table, conn net.PacketConn, c radishspoke.Clock, log *slog.Logger,
	compose func(*wire.Gossip), handle func(Update),
) *Gossiper {
	s.setDefaults()
	return &Gossiper{
		settings: s, table: t, conn: conn, clock: c, log: log, compose: compose, handle: handle,
		unknownPeer: make(chan struct{}, 1), laterEra: make(chan struct{}, 1), peers: map[string]*peer{}, created: c.Now(),
	}
}

// Peers returns the other entries in the order of their names, without those
// that are leaving or have left.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	out := make([]Peer, 0, len(g.peers))
	for n, p := range g.peers {
		if !p.leaving {
			live := p.received && now-p.receivedAt < g.liveTimeout(p)
			out = append(out, Peer{Process: n, Address: p.address, Live: live, Watching: live && p.watching, Configuration: p.configuration, ReceivedAt: p.receivedAt, Entries: int(p.entries)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Process < out[j].Process })
	return out
}

// liveTimeout returns the time after its last datagram for which a peer counts as
// live. It allows for one datagram in two being lost.
func (g *Gossiper) liveTimeout(p *peer) time.Duration {
	if p.watching {
		return g.settings.LiveTimeout
	}
	rounds := (len(g.peers) + g.settings.Fanout - 1) / g.settings.Fanout
	return max(g.settings.LiveTimeout, 2*time.Duration(rounds)*g.settings.Interval)
}

// Incarnation returns the number of this process's current incarnation, or 0 until
// its row has been written. It increases with each start of the process.
func (g *Gossiper) Incarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// ReadAt returns the time of the call that last read the rows of the entries, or 0.
func (g *Gossiper) ReadAt() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readAt
}

// Leave marks the datagrams sent from now on as those of a leaving process.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// RunSend sends datagrams until ctx ends.
func (g *Gossiper) RunSend(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, g.settings.Interval, g.send)
}

// send sends a datagram to the next Fanout peers, in the order of their names.
func (g *Gossiper) send() {
	g.mu.Lock()
	var datagrams []datagram
	names := g.names()
	for range min(g.settings.Fanout, len(names)) {
		datagrams = append(datagrams, g.address(g.peers[names[g.next%len(names)]]))
		g.next++
	}
	g.mu.Unlock()
	if len(datagrams) == 0 {
		return
	}
	shared := &wire.Gossip{}
	g.compose(shared)
	g.deliver(datagrams, shared)
}

// RunBeacons sends beacons until ctx ends. Before each one it calls compose, which
// sets the fields of the datagram and returns false if none is to be sent.
func (g *Gossiper) RunBeacons(ctx context.Context, t radishspoke.Timers, compose func(*wire.Gossip) bool) {
	ticker.Each(ctx, t, g.settings.BeaconInterval, func() {
		shared := &wire.Gossip{}
		if !compose(shared) {
			return
		}
		g.mu.Lock()
		var datagrams []datagram
		for _, n := range g.names() {
			datagrams = append(datagrams, g.address(g.peers[n]))
		}
		g.mu.Unlock()
		g.deliver(datagrams, shared)
	})
}

// datagram is a message to one peer.
type datagram struct {
	to   string
	body *wire.Gossip
}

// names returns the names of the peers in order, or nil until the row of this process
// is written. The caller holds the lock.
func (g *Gossiper) names() []string {
	if g.incarnation == 0 {
		return nil
	}
	out := make([]string, 0, len(g.peers))
	for n := range g.peers {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// address returns a message to a peer with the fields that depend on the peer. The
// caller holds the lock.
func (g *Gossiper) address(p *peer) datagram {
	now := g.clock.Now()
	m := &wire.Gossip{
		Process: g.settings.Process, Incarnation: g.incarnation, SentUs: now.Microseconds(), Leaving: g.leaving,
		StoreEra: g.table.History().Position.Era, Entries: int64(len(g.peers) + 1),
	}
	if p.received {
		m.EchoUs, m.HeldUs, m.EchoIncarnation = p.sent.Microseconds(), (now - p.receivedAt).Microseconds(), p.incarnation
	}
	return datagram{p.address, m}
}

// deliver sends datagrams with the fields that all share.
func (g *Gossiper) deliver(datagrams []datagram, shared *wire.Gossip) {
	for _, d := range datagrams {
		proto.Merge(d.body, shared)
		data, err := proto.Marshal(d.body)
		if err != nil {
			g.log.Error("datagram not encoded", "error", err)
			continue
		}
		to, err := netip.ParseAddrPort(d.to)
		if err != nil {
			g.log.Error("peer's address is malformed", "address", d.to, "error", err)
			continue
		}
		if _, err := g.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			g.log.Debug("datagram not sent", "to", d.to, "error", err)
		}
	}
}
