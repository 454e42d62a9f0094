package fleetrouter

import (
	"time"

	"radishspoke"
)

const (
	// firstWarmth is the part of the requests for which a target is considered when it stops
	// being cold.
	firstWarmth = 0.1

	responseWeight = 0.1 // weight of the newest response time in the moving average
)

// Claim reports whether a request may be sent now to a target that was picked. Otherwise the pick
// has to be undone by Unpick: the target is cold, and takes no request now.
func (r *Router) Claim(id string) bool { return r.limits.Claim(id) }

// Cold reports whether a target is cold.
func (r *Router) Cold(id string) bool { return r.limits.Cold(id) }

// observeResponse records the time in which a target answered a request.
func (t *target) observeResponse(took time.Duration) {
	if t.meanResponse == 0 {
		t.meanResponse = took
	}
	t.meanResponse += time.Duration(responseWeight * float64(took-t.meanResponse))
}

// typicalResponse returns the mean of the response times of the targets of a group and role, or 0
// if none is known.
func (r *Router) typicalResponse(group string, role radishspoke.Role) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for _, t := range r.groups[group] {
		if t.Role == role && t.meanResponse > 0 {
			sum, n = sum+t.meanResponse, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// warm reports whether a target is considered for a request. In the slow start after it was
// cold, it is for a part of the requests that grows with time and falls with its response times,
// and while that part of its slots is free.
func (r *Router) warm(t *target) bool {
	w := r.limits.Warmth(t.ID)
	if w >= 1 {
		return true
	}
	part := firstWarmth + (1-firstWarmth)*w
	if typical := r.typicalResponse(t.Group, t.Role); t.meanResponse > typical {
		part *= float64(typical) / float64(t.meanResponse)
	}
	return float64(t.inFlight+t.reserved) < max(1, part*float64(t.slots)) && r.random.Float64() < part
}
