package assembler

import (
	"time"

	"radishspoke/coordination/dispatcher"
	"radishspoke/coordination/elector"
	"radishspoke/state/tracker"
)

// EntryStatus is the status of an entry, as it is shown to operators. ConfigAge is
// the time since the last proof that the configuration is current, and
// ConfigTrusted is whether the entry still trusts the configuration. Running and
// Waiting are numbers of requests.
type EntryStatus struct {
	Name          string                   `json:"name"`
	Kind          string                   `json:"kind"`
	Zone          string                   `json:"zone"`
	ConfigVersion int64                    `json:"config_version"`
	ConfigAge     string                   `json:"config_age"`
	ConfigTrusted bool                     `json:"standing"`
	Leaving       bool                     `json:"leaving"`
	Running       int                      `json:"running"`
	Waiting       int                      `json:"waiting"`
	Leases        map[string]elector.Lease `json:"leases"`
	Rights        []string                 `json:"rights"`
	Voters        []string                 `json:"voters"`
	Targets       []dispatcher.TargetView  `json:"targets"`
}

// Status returns the current status of the entry.
func (e *Entry) Status() EntryStatus {
	running, waiting := e.dispatcher.Running()
	age := e.watcher.Age()
	return EntryStatus{
		Name: e.settings.Process.Name, Kind: tracker.EntryKind, Zone: e.settings.Process.Zone,
		ConfigVersion: e.watcher.Version(), ConfigAge: age.Truncate(time.Millisecond).String(),
		ConfigTrusted: e.validator.Trusts(e.watcher.Version(), age), Leaving: e.leaving.Load(),
		Running: running, Waiting: waiting, Leases: e.elector.Held(), Rights: e.voter.Held(), Voters: e.voter.Set().Members, Targets: e.dispatcher.Targets(),
	}
}
