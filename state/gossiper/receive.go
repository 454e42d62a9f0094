package gossiper

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"radishspoke/protocol/wire"
)

// RunReceive receives datagrams until conn is closed.
func (g *Gossiper) RunReceive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Debug("datagram not received", "error", err)
			continue
		}
		m := &wire.Gossip{}
		if err := proto.Unmarshal(buffer[:n], m); err != nil {
			g.log.Debug("datagram cannot be decoded", "error", err)
			continue
		}
		g.meet(m, from)
		g.receive(m)
	}
}

// maxPeers bounds the number of peers that are known from their datagrams only.
const maxPeers = 1000

// meet adds the sender of a datagram as a peer if the rows can't have told of it yet.
func (g *Gossiper) meet(m *wire.Gossip, from net.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := m.GetProcess()
	if _, ok := g.peers[name]; ok || g.incarnation > 0 || name == "" || name == g.settings.Process || m.GetIncarnation() == 0 || len(g.peers) >= maxPeers {
		return
	}
	g.log.Info("peer met", "peer", name, "address", from, "incarnation", m.GetIncarnation())
	g.peers[name] = &peer{address: from.String(), incarnation: m.GetIncarnation(), receivedAt: g.clock.Now(), unread: true}
	report(g.unknownPeer)
}

// receive handles one datagram. It ignores datagrams from unknown peers and from
// earlier incarnations, and those that arrive after a datagram sent later.
func (g *Gossiper) receive(m *wire.Gossip) {
	now := g.clock.Now()
	g.mu.Lock()
	p, ok := g.peers[m.GetProcess()]
	if !ok || m.GetIncarnation() < p.incarnation {
		g.mu.Unlock()
		if !ok {
			report(g.unknownPeer)
		}
		return
	}
	sent := time.Duration(m.GetSentUs()) * time.Microsecond
	if m.GetIncarnation() == p.incarnation && p.received && sent < p.sent {
		g.mu.Unlock()
		return
	}
	p.incarnation, p.receivedAt, p.received, p.sent, p.leaving = m.GetIncarnation(), now, true, sent, m.GetLeaving()
	p.watching, p.configuration, p.entries = m.GetWatching(), m.GetVersion(), min(max(0, m.GetEntries()), maxPeers)
	if era := m.GetStoreEra(); era != p.era {
		p.era = era
		if era > g.table.History().Position.Era {
			report(g.laterEra)
		}
	}
	own := g.incarnation
	g.mu.Unlock()
	u := Update{Process: m.GetProcess(), Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Message: m}
	// The peer sent this datagram HeldUs after it had received the one that it
	// echoes, hence no earlier than the echoed send time plus HeldUs. An echo of
	// an earlier incarnation of this process is ignored, as this host's clock may
	// have been reset since.
	if m.GetEchoUs() > 0 && m.GetVersion() > 0 && own > 0 && m.GetEchoIncarnation() == own && possibleTimes(m, now) {
		sent := min(now, microseconds(m.GetEchoUs()+m.GetHeldUs()))
		u.Proof = sent - microseconds(m.GetProofAgeUs())
		u.ListReadAt = sent - microseconds(m.GetDigestAgeUs())
	}
	g.handle(u)
}

// report sends a value on a channel of capacity 1, unless it holds one.
func report(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maxAge bounds the ages in a datagram. The age of what a process does not have is the time
// on its clock.
const maxAge = 100 * 365 * 24 * time.Hour

// maxDrift is the time by which a datagram may appear to be sent after its arrival, as the
// clocks of two hosts run at different rates.
const maxDrift = time.Second

// possibleTimes reports whether the times in a datagram received at the time now can be
// right: none lies in the future by more than maxDrift, and no age is negative.
func possibleTimes(m *wire.Gossip, now time.Duration) bool {
	for _, age := range []int64{m.GetHeldUs(), m.GetProofAgeUs(), m.GetDigestAgeUs(), m.GetServedAgeUs()} {
		if age < 0 || age > maxAge.Microseconds() {
			return false
		}
	}
	return m.GetEchoUs() <= now.Microseconds() && m.GetEchoUs()+m.GetHeldUs() <= (now+maxDrift).Microseconds()
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
