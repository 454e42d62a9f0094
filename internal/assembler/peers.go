package assembler

import (
	"context"
	"time"

	"radishspoke"
	"radishspoke/coordination/voucher"
	"radishspoke/protocol/wire"
	"radishspoke/state/tracker"
	"radishspoke/transport/connector"
	"radishspoke/transport/ticker"
)

// probe makes the probe that goes to every peer.
func (e *Entry) probe() *wire.Probe {
	return &wire.Probe{
		Process: e.settings.Process.Name, ConfigVersion: e.watcher.Version(), FreshAgeMs: ageMillis(e.watcher.Age()),
		Incarnation: e.incarnation, UsageThrough: e.meter.Through(),
	}
}

// count records the usage of one answer.
func (e *Entry) count(team string, u radishspoke.Usage) uint64 {
	e.recorder.Tokens(team, u.Output)
	return e.meter.Add(team, u)
}

// answer replies to a peer's probe.
func (e *Entry) answer(*wire.Probe) *wire.ProbeReply {
	return &wire.ProbeReply{
		Process: e.settings.Process.Name, ConfigVersion: e.watcher.Version(), FreshAgeMs: ageMillis(e.watcher.Age()),
		Incarnation: e.incarnation,
	}
}

// observe takes what a probe brought back. It must not block.
func (e *Entry) observe(r connector.Reply) {
	e.dispatcher.Observe(r)
	if !e.note(r) {
		return
	}
	asked := e.timers.Now() - r.RTT
	e.voucher.Heard(r.Message.Process, voucher.Report{Version: r.Message.ConfigVersion, At: asked})
	e.watcher.Prove(r.Message.ConfigVersion, asked-time.Duration(r.Message.FreshAgeMs)*time.Millisecond)
}

// note keeps a sidecar's version and exchanges configuration. It tells whether
// the reply is another entry's.
func (e *Entry) note(r connector.Reply) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Message == nil {
		delete(e.sidecars, r.Address)
		return false
	}
	e.exchangeConfig(r)
	if r.Message.Load != nil {
		e.sidecars[r.Address] = r.Message.ConfigVersion
	}
	_, peer := e.peers[r.Address]
	return peer
}

// exchangeConfig brings the configuration to a peer that has an older one, or
// takes it from one that has a newer.
func (e *Entry) exchangeConfig(r connector.Reply) {
	mine, theirs := e.watcher.Version(), r.Message.ConfigVersion
	if mine == theirs || e.ctx.Err() != nil {
		return
	}
	e.run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.settings.Sessions.ProbeTimeout)
		defer cancel()
		var err error
		if mine > theirs {
			err = e.pushTo(ctx, r.Address)
		} else {
			err = e.fetchFrom(ctx, r.Address)
		}
		if err != nil && ctx.Err() == nil {
			e.log.Warn("configuration not exchanged", "address", r.Address, "error", err)
		}
	})
}

func (e *Entry) pushTo(ctx context.Context, address string) error {
	version, hash, data := e.watcher.Packed()
	_, err := connector.Call[wire.Ack](ctx, e.pool, address, pushMethod, &wire.ConfigDocument{Version: version, Hash: hash, Document: data})
	return err
}

func (e *Entry) fetchFrom(ctx context.Context, address string) error {
	c, err := connector.Call[wire.ConfigDocument](ctx, e.pool, address, fetchMethod, &wire.FetchConfig{NewerThan: e.watcher.Version()})
	if err != nil {
		return err
	}
	return e.watcher.AcceptPacked(c.Version, c.Hash, c.Document)
}

// pollLoop reads the configuration's row, less often the more entries there
// are.
func (e *Entry) pollLoop(ctx context.Context) {
	random := e.random(pollDuty)
	for {
		if err := e.watcher.Poll(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("configuration not read", "error", err)
		}
		if err := e.readVoters(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("voters not read", "error", err)
		}
		mean := max(leastPollInterval, time.Duration(len(e.tracker.Entries()))*time.Second/pollRate)
		if !ticker.Sleep(ctx, mean/2+time.Duration(random.Int64N(int64(mean)))) {
			return
		}
	}
}

// keepSessions holds sessions to sidecars and to some of the other entries.
func (e *Entry) keepSessions(context.Context) error {
	e.pool.Keep(e.wantedSessions())
	return nil
}

// wantedSessions returns the addresses to hold sessions to.
func (e *Entry) wantedSessions() []string {
	var out []string
	peers := map[string]string{}
	entries := e.tracker.Entries()
	names := make([]string, 0, len(entries))
	for _, m := range entries {
		names = append(names, m.Name)
	}
	if e.watcher.Age() < voucher.Bound {
		e.voucher.SetEntries(names)
	}
	for _, m := range tracker.Rank(e.settings.Process.Name, entries) {
		if m.Name != e.settings.Process.Name && (len(entries) <= smallFleet || len(peers) < gossipPeers) {
			peers[m.Address] = m.Name
			out = append(out, m.Address)
		}
	}
	e.mu.Lock()
	e.peers = peers
	e.mu.Unlock()
	if c := e.watcher.Current(); c != nil {
		out = append(out, e.wantedSidecars(c.Inventory.Targets)...)
	}
	return out
}

// smallFleet is the number of entries up to which each keeps a session to
// every other.
const smallFleet = 16

// wantedSidecars returns the sidecars of every target, or of a part of each
// pool when there are many.
func (e *Entry) wantedSidecars(targets []radishspoke.Target) []string {
	part := min(1, float64(maxSessions)/float64(max(1, len(targets))))
	var out []string
	for _, t := range targets {
		w := float64(tracker.Weight(e.settings.Process.Name, t.Name)) / float64(1<<63) / 2
		if w <= part {
			out = append(out, t.Sidecar)
		}
	}
	return out
}
