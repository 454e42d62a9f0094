package dispatcher

import (
	"time"

	"radishspoke"
	"radishspoke/coordination/planner"
	"radishspoke/protocol/wire"
)

// LoadFromWire converts the message of a load report.
func LoadFromWire(l *wire.Load) radishspoke.Load {
	return radishspoke.Load{
		Target: l.Target, Running: int(l.Running), Waiting: int(l.Waiting), PrefillTokens: int(l.PrefillTokens),
		FreeBlocks: int(l.FreeBlocks), TotalBlocks: int(l.TotalBlocks), Role: radishspoke.Role(l.Role),
		Model: l.Model, Version: l.Version, Epoch: l.Epoch, Sequence: l.Sequence, Draining: l.Draining,
	}
}

// TargetView is a snapshot of this entry's state of one target.
type TargetView struct {
	Name       string           `json:"name"`
	Zone       string           `json:"zone"`
	Reachable  bool             `json:"reachable"`
	Draining   bool             `json:"draining"`
	Ejected    bool             `json:"ejected"`
	InProgress int              `json:"in_progress"` // requests from this entry
	ReportAge  string           `json:"report_age"`  // a duration such as "1.5s", to the millisecond
	Load       radishspoke.Load `json:"load"`
}

// Targets returns the state of every target, in the order of the inventory.
func (d *Dispatcher) Targets() []TargetView {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	views := d.router.Views(now)
	out := make([]TargetView, 0, len(views))
	for _, v := range views {
		out = append(out, TargetView{
			Name: v.Target.Name, Zone: v.Target.Zone, Reachable: v.Reachable, Draining: v.Target.Draining || v.Load.Draining,
			Ejected: v.Ejected, InProgress: v.Outstanding, ReportAge: v.ReportAge.Truncate(time.Millisecond).String(), Load: v.Load,
		})
	}
	return out
}

// Engines returns the reachable engines for the planner.
func (d *Dispatcher) Engines() []planner.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []planner.Engine
	for _, v := range d.router.Views(d.clock.Now()) {
		if v.Target.Kind == radishspoke.EngineTarget && v.Reachable {
			out = append(out, planner.Engine{Target: v.Target, Load: v.Load, Usable: !v.Ejected && !v.Target.Draining})
		}
	}
	return out
}
