package assembler

import (
	"context"
	"time"

	"radishspoke"
	"radishspoke/coordination/validator"
	"radishspoke/protocol/wire"
	"radishspoke/state/tracker"
	"radishspoke/transport/connector"
	"radishspoke/transport/ticker"
)

// newProbe returns the probe that is sent on every session.
func (e *Entry) newProbe() *wire.Probe {
	return &wire.Probe{
		Process: e.settings.Process.Name, ConfigVersion: e.watcher.Version(), FreshAgeMs: ageMillis(e.watcher.Age()),
		Incarnation: e.incarnation, UsageThrough: e.meter.WrittenThrough(),
	}
}

// recordUsage adds the usage of one response to the metrics and the meter. It
// returns the number of the response in the meter.
func (e *Entry) recordUsage(team string, u radishspoke.Usage) uint64 {
	e.recorder.AddTokens(team, u.Output)
	return e.meter.Add(team, u)
}

// answerProbe returns the reply to a peer's probe.
func (e *Entry) answerProbe(*wire.Probe) *wire.ProbeReply {
	return &wire.ProbeReply{
		Process: e.settings.Process.Name, ConfigVersion: e.watcher.Version(), FreshAgeMs: ageMillis(e.watcher.Age()),
		Incarnation: e.incarnation,
	}
}

// observeReply processes the result of a probe. It must not block.
func (e *Entry) observeReply(r connector.ProbeResult) {
	e.dispatcher.Observe(r)
	if !e.recordReply(r) {
		return
	}
	sentAt := e.timers.Now() - r.RTT
	e.validator.SetReport(r.Message.Process, validator.Report{Version: r.Message.ConfigVersion, At: sentAt})
	e.watcher.ConfirmCurrent(r.Message.ConfigVersion, sentAt-time.Duration(r.Message.FreshAgeMs)*time.Millisecond)
}

// recordReply records the configuration version of a sidecar and starts an
// exchange of the configuration if the versions differ. It returns whether the
// reply is that of another entry.
func (e *Entry) recordReply(r connector.ProbeResult) bool {
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

// exchangeConfig sends the configuration to a peer that has an older version, or
// fetches it from a peer that has a newer one. It returns without waiting for the
// exchange.
func (e *Entry) exchangeConfig(r connector.ProbeResult) {
	local, remote := e.watcher.Version(), r.Message.ConfigVersion
	if local == remote || e.ctx.Err() != nil {
		return
	}
	e.run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.settings.Sessions.ProbeTimeout)
		defer cancel()
		var err error
		if local > remote {
			err = e.pushConfig(ctx, r.Address)
		} else {
			err = e.fetchConfig(ctx, r.Address)
		}
		if err != nil && ctx.Err() == nil {
			e.log.Warn("configuration not exchanged", "address", r.Address, "error", err)
		}
	})
}

func (e *Entry) pushConfig(ctx context.Context, address string) error {
	version, hash, data := e.watcher.Compressed()
	_, err := connector.Call[wire.Ack](ctx, e.pool, address, pushMethod, &wire.ConfigDocument{Version: version, Hash: hash, Document: data})
	return err
}

func (e *Entry) fetchConfig(ctx context.Context, address string) error {
	c, err := connector.Call[wire.ConfigDocument](ctx, e.pool, address, fetchMethod, &wire.FetchConfig{NewerThan: e.watcher.Version()})
	if err != nil {
		return err
	}
	return e.watcher.AcceptCompressed(c.Version, c.Hash, c.Document)
}

// pollLoop reads the configuration row and the set of voters periodically until
// ctx is done. The interval grows with the number of entries, which limits their
// total rate of reads. It is randomized to spread the reads over time.
func (e *Entry) pollLoop(ctx context.Context) {
	random := e.random(pollStream)
	for {
		if err := e.watcher.Poll(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("configuration not read", "error", err)
		}
		if err := e.readVoters(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("voters not read", "error", err)
		}
		mean := max(minPollInterval, time.Duration(len(e.tracker.Entries()))*time.Second/maxPollRate)
		if !ticker.Sleep(ctx, mean/2+time.Duration(random.Int64N(int64(mean)))) {
			return
		}
	}
}

// ensureSessions starts to open a session to each wanted address that has none. It
// does not close other sessions.
func (e *Entry) ensureSessions(context.Context) error {
	e.pool.EnsureSessions(e.wantedSessions())
	return nil
}

// wantedSessions returns the addresses of the entries and sidecars to which this
// entry keeps sessions. While the proof that the configuration is current is
// recent, it also passes the names of the entries to the validator.
func (e *Entry) wantedSessions() []string {
	var out []string
	peers := map[string]string{}
	entries := e.tracker.Entries()
	names := make([]string, 0, len(entries))
	for _, m := range entries {
		names = append(names, m.Name)
	}
	if e.watcher.Age() < validator.MaxProofAge {
		e.validator.SetEntries(names)
	}
	for _, m := range tracker.Rank(e.settings.Process.Name, entries) {
		if m.Name != e.settings.Process.Name && (len(entries) <= maxFullMesh || len(peers) < peerSessions) {
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

// maxFullMesh is the maximum number of entries at which each keeps a session to
// every other.
const maxFullMesh = 16

// wantedSidecars returns the addresses of the sidecars of all targets. If there
// are more than maxSidecarSessions targets, it returns those of a pseudorandom
// sample of about maxSidecarSessions targets, which depends on the name of this
// entry.
func (e *Entry) wantedSidecars(targets []radishspoke.Target) []string {
	share := min(1, float64(maxSidecarSessions)/float64(max(1, len(targets))))
	var out []string
	for _, t := range targets {
		weight := float64(tracker.Weight(e.settings.Process.Name, t.Name)) / float64(1<<63) / 2
		if weight <= share {
			out = append(out, t.Sidecar)
		}
	}
	return out
}
