package assembler

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/coordination/pooler"
	"radishspoke/protocol/wire"
	"radishspoke/state/follower"
	"radishspoke/state/gossiper"
	"radishspoke/transport/ticker"
)

// freshTime is how old the proof that the configuration is the newest may be
// before an entry watches the platform itself.
const freshTime = 2500 * time.Millisecond

// watch tells whether this process watches the platform closely.
func (e *FleetEntry) watch() bool {
	var others []follower.Other
	for _, p := range e.gossiper.Peers() {
		others = append(others, follower.Other{Process: p.Process, Watching: p.Watching})
	}
	return follower.Needed(e.settings.Name, others) || e.env.Clock.Now()-e.follower.Proof() > freshTime
}

// tell fills a datagram with what this entry knows.
func (e *FleetEntry) tell(m *wire.Gossip) {
	if t := e.follower.Table(); t != nil {
		m.Version, m.ProofAgeUs = t.Version, (e.env.Clock.Now() - e.follower.Proof()).Microseconds()
	}
	digest, read := e.follower.Digest()
	age := e.env.Clock.Now() - read
	m.Digest, m.DigestAgeUs, m.Watching = digest, age.Microseconds(), age < follower.WatchAge
	m.UpUs = e.pooler.Up().Microseconds()
	for team, t := range e.pooler.Totals() {
		m.Spending = append(m.Spending, &wire.Spending{Team: team, Tokens: t.Spent, Level: t.Level, Asked: t.Asked})
	}
	for w, c := range e.biller.Recent() {
		m.Windows = append(m.Windows, &wire.WindowUsage{Window: w, Begun: c})
	}
}

// hear takes the news of a datagram.
func (e *FleetEntry) hear(n gossiper.News) {
	e.follower.Learn(nil, n.Version, n.Proof)
	e.follower.Told(n.Message.GetDigest(), n.Listed)
	totals := map[string]pooler.Total{}
	for _, s := range n.Message.GetSpending() {
		totals[s.GetTeam()] = pooler.Total{Spent: s.GetTokens(), Level: s.GetLevel(), Asked: s.GetAsked()}
	}
	e.pooler.Heard(n.Process, n.Incarnation, totals, time.Duration(n.Message.GetUpUs())*time.Microsecond)
	for _, w := range n.Message.GetWindows() {
		e.biller.Heard(n.Process, n.Incarnation, w.GetWindow(), w.GetBegun())
	}
}

// notifyInterval is the time between two datagrams to a sidecar.
const notifyInterval = time.Second

// notify tells sidecars which list of targets is the newest, until ctx ends, if
// this entry is the first. A sidecar that hears nothing reads the list itself.
func (e *FleetEntry) notify(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, notifyInterval, func() {
		digest, read := e.follower.Digest()
		if e.rank() > 0 || digest == 0 || e.env.Clock.Now()-read > freshTime {
			return
		}
		data, err := proto.Marshal(&wire.Gossip{Process: e.settings.Name, Digest: digest})
		if err != nil {
			e.env.Log.Error("datagram not encoded", "error", err)
			return
		}
		for _, i := range e.follower.Instances() {
			host, err := netip.ParseAddrPort(i.Address)
			if i.Role == "" || err != nil {
				continue
			}
			to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(host.Addr(), uint16(e.settings.FirstPort+sidecarPort)))
			if _, err := e.datagrams.WriteTo(data, to); err != nil {
				e.env.Log.Debug("datagram not sent", "to", to, "error", err)
			}
		}
	})
}

// rank returns how many live entries come before this one.
func (e *FleetEntry) rank() int {
	n := 0
	for _, p := range e.gossiper.Peers() {
		if p.Live && p.Process < e.settings.Name {
			n++
		}
	}
	return n
}
