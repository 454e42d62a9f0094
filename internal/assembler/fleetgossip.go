package assembler

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/coordination/estimator"
	"radishspoke/coordination/fleetlimiter"
	"radishspoke/coordination/forecaster"
	"radishspoke/coordination/locator"
	"radishspoke/coordination/planner"
	"radishspoke/coordination/quarantiner"
	"radishspoke/coordination/throttler"
	"radishspoke/protocol/wire"
	"radishspoke/state/fleetwatcher"
	"radishspoke/state/gossiper"
	"radishspoke/transport/ticker"
)

// maxProofAge is the maximum age of the proof that the configuration is the
// newest. An entry with an older proof watches the platform itself. It is also the
// maximum age of a list of targets of which sidecars are notified.
const maxProofAge = 2500 * time.Millisecond

// mustWatch returns whether this entry has to read from the platform at short
// intervals itself, rather than rely on other entries that do. It does so if too
// few of the entries with lesser names do, or if its proof that its configuration
// is the newest is older than maxProofAge.
func (e *FleetEntry) mustWatch() bool {
	return fleetwatcher.MustWatch(e.settings.Name, e.PeerStates()) || e.env.Clock.Now()-e.watcher.Proof() > maxProofAge
}

// reliedEntries is the number of entries, by the order of the names of the live ones, that
// notice the end of an outage of the platform for the others.
const reliedEntries = 3

// reliedOn reports whether this entry is one of these.
func (e *FleetEntry) reliedOn() bool { return e.rank() < reliedEntries }

// fillGossip sets the fields of an outgoing gossip message to the state of this
// entry.
func (e *FleetEntry) fillGossip(m *wire.Gossip) {
	e.fillLists(m)
	m.UpUs = e.limiter.Uptime().Microseconds()
	for team, t := range e.limiter.Totals() {
		m.Spending = append(m.Spending, &wire.Spending{Team: team, Tokens: t.Charged, Level: t.Level, Asked: t.Demand})
	}
	for group, t := range e.estimator.Own() {
		m.Timings = append(m.Timings, &wire.EngineTiming{
			Group: group, PrefillBaseNs: int64(t.PrefillBase), PrefillTokenNs: t.PrefillToken * float64(time.Second), FirstEventNs: int64(t.FirstEvent),
			TransferNs: int64(t.Transfer), SetupNs: int64(t.TransferSetup), OutputTokenNs: t.OutputToken * float64(time.Second), Samples: int64(t.Samples),
		})
	}
	now := e.env.Clock.Now()
	for _, f := range e.locator.Report() {
		m.Parts = append(m.Parts, &wire.CachedPart{Part: f.Part, Engine: f.Engine, Tokens: int64(f.Tokens), AgeUs: (now - f.Used).Microseconds()})
	}
	e.fillCrashes(m, now)
	m.Admission = encodeAdmission(e.admitter.Message())
	for _, l := range e.throttler.Report() {
		m.Limits = append(m.Limits, &wire.TargetLimit{
			Target: l.Target, Lifetime: l.Lifetime, Limited: l.Limited, Rate: l.Rate, AgeUs: (now - l.At).Microseconds(), Demand: l.Demand,
		})
	}
	for group, l := range e.forecaster.Own() {
		m.Loads = append(m.Loads, &wire.EngineLoad{Group: group, Prefill: l.Prefill, Streams: l.Streams, Memory: l.Memory, Transfer: l.Transfer, Tokens: l.Tokens})
	}
	for w, c := range e.biller.RecentCounts() {
		m.Windows = append(m.Windows, &wire.WindowUsage{Window: w, Begun: c})
	}
}

// fillCrashes sets the field about requests and parts of prompts on which targets have crashed.
func (e *FleetEntry) fillCrashes(m *wire.Gossip, now time.Duration) {
	for _, c := range e.quarantiner.Report() {
		m.Crashes = append(m.Crashes, &wire.PartCrash{
			Group: c.Group, Part: c.Part, Request: c.Request, Engine: c.Engine, Depth: int32(c.Depth),
			AgeUs: (now - c.At).Microseconds(), RunningUs: c.Running.Microseconds(), Cleared: c.Cleared,
		})
	}
}

// mergeCrashes is the inverse of fillCrashes.
func (e *FleetEntry) mergeCrashes(m *wire.Gossip, now time.Duration) {
	crashes := make([]quarantiner.Crash, len(m.GetCrashes()))
	for i, c := range m.GetCrashes() {
		crashes[i] = quarantiner.Crash{
			Key: quarantiner.Key{Group: c.GetGroup(), Part: c.GetPart(), Request: c.GetRequest()}, Engine: c.GetEngine(), Depth: int(c.GetDepth()),
			At: now - time.Duration(c.GetAgeUs())*time.Microsecond, Running: time.Duration(c.GetRunningUs()) * time.Microsecond, Cleared: c.GetCleared(),
		}
	}
	e.quarantiner.Merge(crashes)
}

// mergeLimits records the limits of targets that a peer knows.
func (e *FleetEntry) mergeLimits(u gossiper.Update, now time.Duration) {
	limits := make([]throttler.Limit, len(u.Message.GetLimits()))
	for i, l := range u.Message.GetLimits() {
		limits[i] = throttler.Limit{
			Target: l.GetTarget(), Lifetime: l.GetLifetime(), Limited: l.GetLimited(), Rate: l.GetRate(),
			At: now - time.Duration(l.GetAgeUs())*time.Microsecond, Demand: l.GetDemand(),
		}
	}
	e.throttler.Merge(u.Process, limits)
}

// fillLists sets the fields about the configuration and the list of targets.
func (e *FleetEntry) fillLists(m *wire.Gossip) {
	if t := e.watcher.Table(); t != nil {
		m.Version, m.ProofAgeUs = t.Version, (e.env.Clock.Now() - e.watcher.Proof()).Microseconds()
	}
	digest, readAt := e.watcher.Digest()
	now := e.env.Clock.Now()
	m.Digest, m.DigestAgeUs, m.Watching = digest, (now - readAt).Microseconds(), e.watcher.Watching()
	m.ServedAgeUs = (now - e.watcher.Served()).Microseconds()
	m.Evacuations = encodeEvacuations(e.evacuator)
}

// beaconCandidates is the number of entries, by the order of the names of the live
// ones, that may send beacons. Two of them watch the platform; the others take over
// when these fail.
const beaconCandidates = 6

const (
	// beaconChanges and notifiedChanges are the ages up to which beacons and
	// notifications of sidecars contain changes of the list of targets. Two or three
	// of them contain each change.
	beaconChanges   = 1100 * time.Millisecond
	notifiedChanges = 2500 * time.Millisecond
)

// fillBeacon sets the fields of a beacon, and returns false if this entry is not one
// of those that the others follow.
func (e *FleetEntry) fillBeacon(m *wire.Gossip) bool {
	e.fillLists(m)
	m.Changes = encodeChanges(e.watcher.Changes(beaconChanges))
	return m.GetWatching() && e.rank() < beaconCandidates
}

// encodeChanges encodes changes of the list of targets.
func encodeChanges(list []fleetwatcher.Change) []*wire.TargetChange {
	out := make([]*wire.TargetChange, len(list))
	for k, c := range list {
		i := c.Instance
		out[k] = &wire.TargetChange{Id: i.ID, Gone: c.Gone}
		if !c.Gone {
			out[k] = &wire.TargetChange{
				Id: i.ID, Group: i.Group, Address: i.Address, Zone: i.Zone, Slots: int32(i.Slots), Role: string(i.Role),
				Model: i.Model, Software: i.Software, Leaving: i.Leaving, StartMs: i.StartTime.UnixMilli(), ColdMs: coldMilliseconds(i.Cold),
			}
		}
	}
	return out
}

// coldMilliseconds returns a cold time, rounded up: a target with any is cold.
func coldMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// decodeChanges is the inverse of encodeChanges.
func decodeChanges(list []*wire.TargetChange) []fleetwatcher.Change {
	out := make([]fleetwatcher.Change, len(list))
	for k, c := range list {
		out[k] = fleetwatcher.Change{Gone: c.GetGone(), Instance: radishspoke.Instance{ID: c.GetId()}}
		if !c.GetGone() {
			out[k].Instance = radishspoke.Instance{
				ID: c.GetId(), Group: c.GetGroup(), Address: c.GetAddress(), Zone: c.GetZone(), Slots: int(c.GetSlots()), Role: radishspoke.Role(c.GetRole()),
				Model: c.GetModel(), Software: c.GetSoftware(), Leaving: c.GetLeaving(), StartTime: time.UnixMilli(c.GetStartMs()),
				Cold: time.Duration(max(0, c.GetColdMs())) * time.Millisecond,
			}
		}
	}
	return out
}

// handleGossip processes the content of a gossip message received from a peer.
func (e *FleetEntry) handleGossip(u gossiper.Update) {
	mergeEvacuations(e.evacuator, u.Message)
	e.watcher.UpdateConfiguration(nil, u.Version, u.Proof)
	if u.Message.GetDigest() != 0 && u.ListReadAt != 0 {
		e.watcher.RecordServed(e.env.Clock.Now()-time.Duration(u.Message.GetServedAgeUs())*time.Microsecond, u.ListReadAt)
	}
	e.watcher.CompareDigest(u.Message.GetDigest(), u.ListReadAt, decodeChanges(u.Message.GetChanges()))
	if u.Message.GetUpUs() == 0 {
		return // a beacon, which says nothing else
	}
	totals := map[string]fleetlimiter.Total{}
	for _, s := range u.Message.GetSpending() {
		totals[s.GetTeam()] = fleetlimiter.Total{Charged: s.GetTokens(), Level: s.GetLevel(), Demand: s.GetAsked()}
	}
	e.limiter.MergeReport(u.Process, u.Incarnation, totals, time.Duration(u.Message.GetUpUs())*time.Microsecond)
	for _, t := range u.Message.GetTimings() {
		e.estimator.Merge(u.Process, t.GetGroup(), estimator.Timing{
			PrefillBase: time.Duration(t.GetPrefillBaseNs()), PrefillToken: t.GetPrefillTokenNs() / float64(time.Second),
			FirstEvent: time.Duration(t.GetFirstEventNs()), Transfer: time.Duration(t.GetTransferNs()), TransferSetup: time.Duration(t.GetSetupNs()),
			OutputToken: t.GetOutputTokenNs() / float64(time.Second), Samples: int(t.GetSamples()),
		})
	}
	now := e.env.Clock.Now()
	for _, p := range u.Message.GetParts() {
		e.locator.Merge(locator.Fact{Part: p.GetPart(), Engine: p.GetEngine(), Tokens: int(p.GetTokens()), Used: now - time.Duration(p.GetAgeUs())*time.Microsecond})
	}
	e.mergeCrashes(u.Message, now)
	e.mergeLimits(u, now)
	e.admitter.Merge(u.Process, decodeAdmission(u.Message.GetAdmission()))
	for _, l := range u.Message.GetLoads() {
		e.forecaster.Merge(u.Process, l.GetGroup(), forecaster.Load{
			Prefill: l.GetPrefill(), Streams: l.GetStreams(), Memory: l.GetMemory(), Transfer: l.GetTransfer(), Tokens: l.GetTokens(),
		})
	}
	for _, w := range u.Message.GetWindows() {
		e.biller.Merge(u.Process, u.Incarnation, w.GetWindow(), w.GetBegun())
	}
}

// notifyInterval is the time between two notifications to the same sidecar.
const notifyInterval = time.Second

// notifySidecars sends the digest of the newest list of targets, and the list of evacuated
// zones, to the sidecars of all engines periodically until ctx is done. Only the live entry
// with the least name sends them, the former only if it is not old. A sidecar that receives no
// digest reads the list of targets itself.
func (e *FleetEntry) notifySidecars(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, notifyInterval, func() {
		digest, readAt := e.watcher.Digest()
		now := e.env.Clock.Now()
		age := now - readAt
		m := &wire.Gossip{Process: e.settings.Name, Evacuations: encodeEvacuations(e.evacuator)}
		current := digest != 0 && age <= maxProofAge
		if e.rank() > 0 || !current && m.GetEvacuations() == nil {
			return
		}
		if current {
			m.Digest, m.DigestAgeUs, m.ServedAgeUs = digest, age.Microseconds(), (now - e.watcher.Served()).Microseconds()
			m.PrefillShares, m.Changes = e.prefillShares(), encodeChanges(e.watcher.Changes(notifiedChanges))
		}
		data, err := proto.Marshal(m)
		if err != nil {
			e.env.Log.Error("datagram not encoded", "error", err)
			return
		}
		for _, i := range e.watcher.Instances() {
			address, err := netip.ParseAddrPort(i.Address)
			if i.Role == "" || err != nil {
				continue
			}
			dest := net.UDPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), uint16(e.settings.FirstPort+sidecarPort)))
			if _, err := e.udpConn.WriteTo(data, dest); err != nil {
				e.env.Log.Debug("datagram not sent", "to", dest, "error", err)
			}
		}
	})
}

// prefillShares returns the share of the engines of each group that should have the
// role prefill, by the load over all entries. It is called by one goroutine only.
func (e *FleetEntry) prefillShares() map[string]float64 {
	out := map[string]float64{}
	t := e.watcher.Table()
	if t == nil {
		return out
	}
	engines, prefilling := map[string]int{}, map[string]int{}
	limits, asked := map[string][]float64{}, map[string]float64{} // of decode engines
	for _, i := range e.evacuator.Outside(e.watcher.Instances()) {
		if i.Role != "" && !i.Leaving {
			engines[i.Group]++
		}
		if i.Role == radishspoke.PrefillRole && !i.Leaving {
			prefilling[i.Group]++
		}
		if demand, limit, ok := e.throttler.Demand(i.ID); ok && i.Role == radishspoke.DecodeRole && !i.Leaving {
			limits[i.Group] = append(limits[i.Group], limit)
			asked[i.Group] = max(asked[i.Group], demand)
		}
	}
	for name, g := range t.Groups {
		d, ok := e.dividers[name]
		if !ok {
			d = &planner.Divider{}
			e.dividers[name] = d
		}
		l := e.forecaster.Total(name)
		work := planner.Work{
			Prefill: l.Prefill, Tokens: l.Tokens, Streams: l.Streams, Memory: l.Memory, Transfer: l.Transfer,
			Limited: planner.LimitedEngines(limits[name], engines[name]-prefilling[name], asked[name]),
		}
		if share, ok := d.PrefillShare(e.env.Clock.Now(), work, g.Engine, engines[name], prefilling[name]); ok {
			out[name] = share
		}
	}
	return out
}

// rank returns the number of live entries with lesser names than this one.
func (e *FleetEntry) rank() int {
	n := 0
	for _, p := range e.gossiper.Peers() {
		if p.Live && p.Process < e.settings.Name {
			n++
		}
	}
	return n
}
