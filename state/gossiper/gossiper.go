package gossiper

import (
	"context"
	"log/slog"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// Settings of a Gossiper.
type Settings struct {
	Process string
	Address string // for datagrams

	// Interval is the time between two datagrams to a peer; 200 ms if zero.
	Interval time.Duration

	// Fan is the most peers that get a datagram in one interval; 8 if zero.
	Fan int

	// Silence is how long after its last datagram a peer counts as live; 1 s
	// if zero.
	Silence time.Duration

	// Forget is how long after its last datagram a peer's row is dropped;
	// 20 s if zero.
	Forget time.Duration

	// Discover is the time between two reads of the peers' rows; 15 s if
	// zero. They are read at once when an unknown peer is heard.
	Discover time.Duration
}

const (
	defaultInterval = 200 * time.Millisecond
	defaultFan      = 8
	defaultSilence  = time.Second
	defaultForget   = 20 * time.Second
	defaultDiscover = 15 * time.Second
	firstDiscovery  = 500 * time.Millisecond // while peers are still starting
	startTime       = 5 * time.Second        // during which they do
	mostDatagram    = 60 << 10               // bytes
	prefix          = "entry/"
)

func (s *Settings) fill() {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Fan == 0 {
		s.Fan = defaultFan
	}
	if s.Silence == 0 {
		s.Silence = defaultSilence
	}
	if s.Forget == 0 {
		s.Forget = defaultForget
	}
	if s.Discover == 0 {
		s.Discover = defaultDiscover
	}
}

// row is the content of a process's row.
type row struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Left        bool   `json:"left,omitempty"`
}

// News is what one datagram says, on the receiver's clock.
type News struct {
	Process     string
	Incarnation uint64
	Version     int64

	// Proof is a moment at which the configuration of Version was the
	// newest; 0 if that can't be told.
	Proof time.Duration

	// Listed is a moment before which the list of targets with the message's
	// digest was not read; 0 if that can't be told.
	Listed time.Duration

	Message *wire.Gossip
}

// Peer is another entry as it is known here.
type Peer struct {
	Process  string
	Address  string // for datagrams
	Live     bool
	Watching bool // it watches the platform closely

	// Heard is when the last datagram came, or when the peer was discovered.
	Heard time.Duration
}

// peer is the state of one other entry.
type peer struct {
	address     string
	version     int64 // of the row
	incarnation uint64
	heard       time.Duration
	listened    bool          // a datagram has come
	sent        time.Duration // on the peer's clock, in its last datagram
	leaving     bool
	watching    bool
}

// Gossiper exchanges datagrams with the other entries. Make it with New.
type Gossiper struct {
	settings Settings
	table    radishspoke.Table
	conn     net.PacketConn
	clock    radishspoke.Clock
	log      *slog.Logger
	fill     func(*wire.Gossip)
	take     func(News)

	unknown chan struct{} // ring of one: an unknown peer was heard

	mu          sync.Mutex
	incarnation uint64 // 0 until this process is announced
	peers       map[string]*peer
	turn        int
	joined      time.Duration
	leave       bool
}

// New returns a Gossiper on conn. It calls fill for each datagram to send and
// take for each that comes.
func New(s Settings, t radishspoke.Table, conn net.PacketConn, c radishspoke.Clock, log *slog.Logger,
	fill func(*wire.Gossip), take func(News),
) *Gossiper {
	s.fill()
	return &Gossiper{
		settings: s, table: t, conn: conn, clock: c, log: log, fill: fill, take: take,
		unknown: make(chan struct{}, 1), peers: map[string]*peer{}, joined: c.Now(),
	}
}

// Peers returns the other entries that are not known to have left, by name.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	out := make([]Peer, 0, len(g.peers))
	for n, p := range g.peers {
		if !p.leaving {
			live := p.listened && now-p.heard < g.settings.Silence
			out = append(out, Peer{Process: n, Address: p.address, Live: live, Watching: live && p.watching, Heard: p.heard})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Process < out[j].Process })
	return out
}

// Incarnation returns the number of this lifetime of the process, 0 until it is
// announced.
func (g *Gossiper) Incarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// Leave makes the next datagrams say that this process leaves.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leave = true
}

// RunSend sends datagrams until ctx ends.
func (g *Gossiper) RunSend(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, g.settings.Interval, g.send)
}

// send sends one datagram to each of the peers whose turn it is.
func (g *Gossiper) send() {
	g.mu.Lock()
	if g.incarnation == 0 {
		g.mu.Unlock()
		return
	}
	names := make([]string, 0, len(g.peers))
	for n := range g.peers {
		names = append(names, n)
	}
	sort.Strings(names)
	type letter struct {
		to   string
		body *wire.Gossip
	}
	var letters []letter
	now := g.clock.Now()
	for range min(g.settings.Fan, len(names)) {
		p := g.peers[names[g.turn%len(names)]]
		g.turn++
		m := &wire.Gossip{
			Process: g.settings.Process, Incarnation: g.incarnation, SentUs: now.Microseconds(), Leaving: g.leave,
		}
		if p.listened {
			m.EchoUs, m.HeldUs, m.EchoIncarnation = p.sent.Microseconds(), (now - p.heard).Microseconds(), p.incarnation
		}
		letters = append(letters, letter{p.address, m})
	}
	g.mu.Unlock()
	if len(letters) == 0 {
		return
	}
	shared := &wire.Gossip{}
	g.fill(shared)
	for _, l := range letters {
		proto.Merge(l.body, shared)
		data, err := proto.Marshal(l.body)
		if err != nil {
			g.log.Error("datagram not encoded", "error", err)
			continue
		}
		to, err := net.ResolveUDPAddr("udp", l.to)
		if err != nil {
			g.log.Error("peer's address unusable", "address", l.to, "error", err)
			continue
		}
		if _, err := g.conn.WriteTo(data, to); err != nil {
			g.log.Debug("datagram not sent", "to", l.to, "error", err)
		}
	}
}

// RunReceive takes datagrams until conn is closed.
func (g *Gossiper) RunReceive() {
	buffer := make([]byte, mostDatagram)
	for {
		n, _, err := g.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Debug("datagram not received", "error", err)
			continue
		}
		m := &wire.Gossip{}
		if err := proto.Unmarshal(buffer[:n], m); err != nil {
			g.log.Debug("datagram unreadable", "error", err)
			continue
		}
		g.receive(m)
	}
}

// receive takes one datagram.
func (g *Gossiper) receive(m *wire.Gossip) {
	now := g.clock.Now()
	g.mu.Lock()
	p, ok := g.peers[m.GetProcess()]
	if !ok || m.GetIncarnation() < p.incarnation {
		g.mu.Unlock()
		if !ok {
			select {
			case g.unknown <- struct{}{}:
			default:
			}
		}
		return // not discovered yet, or from before a restart
	}
	sent := time.Duration(m.GetSentUs()) * time.Microsecond
	if m.GetIncarnation() == p.incarnation && p.listened && sent < p.sent {
		g.mu.Unlock()
		return // overtaken
	}
	p.incarnation, p.heard, p.listened, p.sent, p.leaving = m.GetIncarnation(), now, true, sent, m.GetLeaving()
	p.watching = m.GetWatching()
	mine := g.incarnation
	g.mu.Unlock()
	n := News{Process: m.GetProcess(), Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Message: m}
	// The datagram was sent after the peer got the one that it echoes. An echo
	// of an earlier lifetime is of another clock.
	if echo := time.Duration(m.GetEchoUs()) * time.Microsecond; echo > 0 && m.GetVersion() > 0 && m.GetEchoIncarnation() == mine {
		sent := echo + time.Duration(m.GetHeldUs())*time.Microsecond
		n.Proof = sent - time.Duration(m.GetProofAgeUs())*time.Microsecond
		n.Listed = sent - time.Duration(m.GetDigestAgeUs())*time.Microsecond
	}
	g.take(n)
}
