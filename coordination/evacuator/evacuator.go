package evacuator

import (
	"log/slog"
	"maps"
	"slices"
	"sync"

	"radishspoke"
)

// Evacuator keeps the newest list of evacuated zones. It is safe for concurrent use. Create it
// with New.
type Evacuator struct {
	log *slog.Logger

	mu      sync.RWMutex
	known   bool // a list has been merged
	at      radishspoke.StorePosition
	zones   map[string]bool
	targets []radishspoke.Instance // as listed
	zoneOf  map[string]string      // zones of the targets, by id
	warned  map[warning]bool       // logged since the evacuation of the zone began
}

// warning is what an evacuation does to a group, or that it meets no target if the group is
// empty.
type warning struct{ zone, group string }

// New returns an Evacuator without a list.
func New(log *slog.Logger) *Evacuator {
	return &Evacuator{log: log, zones: map[string]bool{}, zoneOf: map[string]string{}, warned: map[warning]bool{}}
}

// Merge replaces the list by a newer one. It reports whether other zones are evacuated now, or
// the list was not known before. A list with an impossible position is ignored.
func (e *Evacuator) Merge(s radishspoke.Evacuations) (changed bool) {
	if s.At.Era < 0 || s.At.Era > radishspoke.MaxEra || s.At.Version < 0 || s.At.Version > radishspoke.MaxVersion {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && s.At.Number() <= e.at.Number() {
		return false
	}
	zones := make(map[string]bool, len(s.Zones))
	for _, z := range s.Zones {
		zones[z] = true
	}
	first := !e.known
	return e.set(s.At, zones) || first
}

// Advance applies changes between two positions of one era to the list, by zone: true for an
// evacuation, false for its withdrawal. It returns false if the list is not known at the first
// position or later, so that changes may be missing. Changes that the list has already are
// applied again without an effect.
func (e *Evacuator) Advance(after, to radishspoke.StorePosition, changes map[string]bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.known || e.at.Number() < after.Number():
		return false
	case e.at.Number() >= to.Number():
		return true
	}
	zones := maps.Clone(e.zones)
	for z, evacuated := range changes {
		if evacuated {
			zones[z] = true
		} else {
			delete(zones, z)
		}
	}
	e.set(to, zones)
	return true
}

// set replaces the list, logs the differences, and reports whether there are any. The
// Evacuator must be locked.
func (e *Evacuator) set(at radishspoke.StorePosition, zones map[string]bool) (changed bool) {
	before := e.zones
	e.known, e.at, e.zones = true, at, zones
	for _, z := range sorted(zones) {
		if !before[z] {
			changed = true
			e.log.Info("zone evacuated", "zone", z, "era", at.Era, "version", at.Version)
		}
	}
	for _, z := range sorted(before) {
		if !zones[z] {
			changed = true
			e.log.Info("zone taken back", "zone", z, "era", at.Era, "version", at.Version)
			maps.DeleteFunc(e.warned, func(w warning, _ bool) bool { return w.zone == z })
		}
	}
	if changed {
		e.warn()
	}
	return changed
}

// Evacuated reports whether a zone is evacuated.
func (e *Evacuator) Evacuated(zone string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.zones[zone]
}

// Covers reports whether a listed target is in an evacuated zone.
func (e *Evacuator) Covers(id string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	zone, ok := e.zoneOf[id]
	return ok && e.zones[zone]
}

// State returns the newest list, and false if none is known.
func (e *Evacuator) State() (radishspoke.Evacuations, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return radishspoke.Evacuations{At: e.at, Zones: sorted(e.zones)}, e.known
}

// Outside returns the targets in list that are in no evacuated zone.
func (e *Evacuator) Outside(list []radishspoke.Instance) []radishspoke.Instance {
	e.mu.RLock()
	defer e.mu.RUnlock()
	out := make([]radishspoke.Instance, 0, len(list))
	for _, i := range list {
		if !e.zones[i.Zone] {
			out = append(out, i)
		}
	}
	return out
}

// Keep replaces the listed targets.
func (e *Evacuator) Keep(list []radishspoke.Instance) {
	zoneOf := make(map[string]string, len(list))
	for _, i := range list {
		zoneOf[i.ID] = i.Zone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets, e.zoneOf = list, zoneOf
	e.warn()
}

// warn logs each evacuated zone that has no target, and each group that has none outside the
// evacuated zones, once. The Evacuator must be locked.
func (e *Evacuator) warn() {
	if len(e.zones) == 0 || len(e.targets) == 0 {
		return
	}
	groups := map[string]map[string]bool{} // by zone
	served := map[string]bool{}            // groups with a target outside the evacuated zones
	for _, i := range e.targets {
		if !e.zones[i.Zone] {
			served[i.Group] = served[i.Group] || !i.Leaving
			continue
		}
		if groups[i.Zone] == nil {
			groups[i.Zone] = map[string]bool{}
		}
		groups[i.Zone][i.Group] = true
	}
	for _, z := range sorted(e.zones) {
		if len(groups[z]) == 0 {
			e.warnOnce(warning{zone: z}, "evacuated zone has no targets")
		}
		for _, g := range sorted(groups[z]) {
			if !served[g] {
				e.warnOnce(warning{z, g}, "evacuation leaves a group without targets")
			}
		}
	}
}

// warnOnce logs a warning unless it was logged since the evacuation of the zone began. The
// Evacuator must be locked.
func (e *Evacuator) warnOnce(w warning, message string) {
	if !e.warned[w] {
		e.warned[w] = true
		e.log.Warn(message, "zone", w.zone, "group", w.group)
	}
}

// sorted returns the keys of a set in order.
func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
