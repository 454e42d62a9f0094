package fleetrouter

import (
	"slices"
	"time"

	"radishspoke"
)

// Selection restricts the targets that are considered for a request.
type Selection struct {
	Exclude map[string]bool // ids of targets that are not considered

	// Among has the ids of the targets that may answer the request. It is empty for any.
	Among []string

	// Software is the version of the software that has to write the answer. It is empty
	// for any.
	Software string

	// Regions are the regions in which the request may be sent to targets, and between whose
	// targets its KV caches may be transferred. It is nil for all regions, and empty for none.
	Regions []string

	// Free excludes targets that have failed last, and those that would not begin the request
	// soon, as far as is known. A free target that is picked is reserved until Begin or Unpick.
	Free bool

	// Hold is set if the target is asked to reserve capacity. Targets with a limit are not
	// considered, as that call would be one more than their permits allow, and the others are
	// compared by their reported load. Best compares all of them, and not only two that are
	// chosen at random.
	Hold, Best bool

	// query tells that nothing will be sent.
	query bool

	// observe is called with each target that can be chosen and its cost. It may be nil.
	observe func(t *target, cost time.Duration)
}

// free reports whether a target is expected to begin a further request soon. The requests
// of engines are long, so that none may wait there; of a plain target, fewer than its slots.
func (t *target) free() bool {
	if t.failures > 0 {
		return false
	}
	if t.Role == "" {
		return t.waiting < max(1, t.slots)
	}
	return t.waiting == 0 && (t.slots == 0 || t.inFlight+t.reserved < t.slots)
}

// allows reports whether a target may be chosen. A prompt may be prefilled by any version.
func (s Selection) allows(t *target) bool {
	if s.Free && !t.free() || !s.allowsRegion(t.Region) {
		return false
	}
	if s.Exclude[t.ID] || t.Role == radishspoke.PrefillRole {
		return !s.Exclude[t.ID]
	}
	return (s.Software == "" || s.Software == t.Software) && (len(s.Among) == 0 || slices.Contains(s.Among, t.ID))
}

// allowsRegion reports whether targets in a region may be chosen. A region that is not known is
// in no list.
func (s Selection) allowsRegion(region string) bool {
	return s.Regions == nil || region != "" && slices.Contains(s.Regions, region)
}

// withOthersOfVersion returns the targets in list whose software version has a further one
// there. A stream that begins at another target cannot be resumed after that one has failed.
// If none of them is without waiting requests, it returns the whole list.
func withOthersOfVersion(list []*target) []*target {
	count := map[string]int{}
	for _, t := range list {
		count[t.Software]++
	}
	var out []*target
	idle := false
	for _, t := range list {
		if count[t.Software] > 1 {
			out = append(out, t)
			idle = idle || t.waiting == 0
		}
	}
	if !idle {
		return list
	}
	return out
}

// Has reports whether a target of a group and role could be picked.
func (r *Router) Has(group string, role radishspoke.Role, sel Selection) bool {
	sel.query = true
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.usable(group, role, sel)) > 0
}
