package assembler

import (
	"context"
	"math"
	"slices"
	"time"

	"radishspoke"
	"radishspoke/coordination/admitter"
	"radishspoke/coordination/fleetdispatcher"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// Supply implements admitter.Supplies.
func (e *FleetEntry) Supply(group string) admitter.Supply {
	s := e.router.Supply(group, func(engine string) time.Duration {
		return fleetdispatcher.ExpectedWait(e.relayClient, e.sequencer, engine)
	})
	if n := e.forecaster.Open(group); n > 0 {
		s.InUse = n
	}
	return s
}

// livePeers returns the names of the other entries whose datagrams arrive.
func (e *FleetEntry) livePeers() []string {
	var out []string
	for _, p := range e.gossiper.Peers() {
		if p.Live {
			out = append(out, p.Process)
		}
	}
	return out
}

// tolerableWait is the mean expected wait for a turn from which on prompts are rejected: a fifth
// of the time for which callers of streams wait for the first event at least. With a fifth of a
// usual objective (40 ms) instead, prompts were rejected that would have been served late.
const tolerableWait = 400 * time.Millisecond

// admissionInForce reports whether no team of the configuration has a rate. Nothing else
// divides the capacity of targets then.
func admissionInForce(t *radishspoke.RoutingTable) bool {
	return !slices.ContainsFunc(t.Teams, func(t radishspoke.TeamRule) bool { return t.Rate > 0 })
}

// Units of the figures in messages.
const (
	hundredth = 0.01
	workUnit  = 1e-4 // seconds
)

// toUnits returns a figure in a unit, rounded.
func toUnits(x, unit float64) uint32 { return uint32(min(math.MaxUint32, max(0, math.Round(x/unit)))) }

func fromUnits(n uint32, unit float64) float64 { return float64(n) * unit }

// encodeAdmission encodes what this entry tells others about its demand. It returns nil if
// there is nothing to tell.
func encodeAdmission(m admitter.Message) *wire.AdmissionReport {
	if len(m.Reports)+len(m.Rejected) == 0 {
		return nil
	}
	out := &wire.AdmissionReport{Rejected: m.Rejected}
	for _, r := range m.Reports {
		g := &wire.GroupDemand{Group: r.Group, InUse: toUnits(r.InUse, 1), PrefillFactor: toUnits(r.PrefillFactor, hundredth), SlotFactor: toUnits(r.SlotFactor, hundredth)}
		for _, d := range r.Classes {
			g.Classes = append(g.Classes, &wire.ClassDemand{
				Class: d.Class.Encode(), Rate: toUnits(d.Rate, hundredth), Prefill: toUnits(d.Prefill, workUnit), Slot: toUnits(d.Slot, workUnit), Retries: toUnits(d.Retries, hundredth),
			})
		}
		out.Groups = append(out.Groups, g)
	}
	return out
}

// decodeAdmission is the inverse of encodeAdmission. It skips what no class has.
func decodeAdmission(m *wire.AdmissionReport) admitter.Message {
	out := admitter.Message{Rejected: m.GetRejected()}
	for _, g := range m.GetGroups() {
		r := admitter.Report{
			Group: g.GetGroup(), InUse: fromUnits(g.GetInUse(), 1),
			PrefillFactor: fromUnits(g.GetPrefillFactor(), hundredth), SlotFactor: fromUnits(g.GetSlotFactor(), hundredth),
		}
		for _, d := range g.GetClasses() {
			if c, ok := admitter.DecodeClass(d.GetClass()); ok {
				r.Classes = append(r.Classes, admitter.Demand{
					Class: c, Rate: fromUnits(d.GetRate(), hundredth), Prefill: fromUnits(d.GetPrefill(), workUnit), Slot: fromUnits(d.GetSlot(), workUnit),
					Retries: fromUnits(d.GetRetries(), hundredth),
				})
			}
		}
		out.Reports = append(out.Reports, r)
	}
	return out
}

// logAdmission logs the begin and the end of shortages until ctx is done.
func (e *FleetEntry) logAdmission(ctx context.Context, t radishspoke.Timers) {
	var before []string
	ticker.Each(ctx, t, admissionLogInterval, func() {
		now := e.admitter.Short()
		for _, g := range now {
			if !slices.Contains(before, g) {
				e.env.Log.Warn("targets are short", "group", g)
			}
		}
		for _, g := range before {
			if !slices.Contains(now, g) {
				e.env.Log.Info("targets are short no longer", "group", g)
			}
		}
		before = now
	})
}

// admissionLogInterval is the time between two looks for groups whose targets are short.
const admissionLogInterval = time.Second
