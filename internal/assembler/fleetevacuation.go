package assembler

import (
	"context"
	"strings"
	"time"

	"radishspoke"
	"radishspoke/coordination/evacuator"
	"radishspoke/protocol/wire"
	"radishspoke/state/recorder"
)

// maxZoneBytes bounds the names of the evacuated zones in a datagram. Longer lists, which no
// deployment has zones for, would keep the rest of it from being sent.
const maxZoneBytes = 4 << 10

// encodeEvacuations returns the list of evacuated zones for a datagram, or nil if it is not
// known or too long.
func encodeEvacuations(e *evacuator.Evacuator) *wire.Evacuations {
	s, ok := e.State()
	if !ok || len(strings.Join(s.Zones, " ")) > maxZoneBytes {
		return nil
	}
	return &wire.Evacuations{Era: s.At.Era, Version: s.At.Version, Zones: s.Zones}
}

// mergeEvacuations records the list of evacuated zones in a datagram, if it has one.
func mergeEvacuations(e *evacuator.Evacuator, g *wire.Gossip) {
	if m := g.GetEvacuations(); m != nil {
		e.Merge(radishspoke.Evacuations{At: radishspoke.StorePosition{Era: m.GetEra(), Version: m.GetVersion()}, Zones: m.GetZones()})
	}
}

// pollEvacuations reads the list of evacuated zones from the store at intervals, while no entry
// notifies the sidecar.
func (d *FleetSidecar) pollEvacuations(ctx context.Context) {
	now := d.env.Clock.Now()
	silent := now - max(d.started, time.Duration(d.lastNotified.Load()))
	if d.settings.Bounds.Evacuate == 0 || silent <= notificationTimeout || now-d.evacuationsAt < listInterval {
		return
	}
	d.evacuationsAt = now
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	if err := d.readEvacuations(ctx); err != nil {
		d.env.Log.Debug("evacuated zones not read", "error", err)
	}
}

// registerEvacuations registers the gauge of evacuated zones.
func registerEvacuations(r *recorder.Recorder, e *evacuator.Evacuator) {
	r.Gauge("zones_evacuated", func() float64 {
		s, _ := e.State()
		return float64(len(s.Zones))
	})
}
