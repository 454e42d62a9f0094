package admitter

import "time"

// Demand is the demand of one class at one process.
type Demand struct {
	Class         Class
	Rate          float64 // requests a second
	Prefill, Slot float64 // mean work, in seconds
	Retries       float64 // share of retries of rejected requests
}

// Report is what one process tells others about a group.
type Report struct {
	Group                     string
	InUse                     float64 // slots that the process uses
	PrefillFactor, SlotFactor float64 // of the capacities; 0 if none has been learned
	Classes                   []Demand
}

// Message is what one process tells others.
type Message struct {
	Reports []Report

	// Rejected are the marks of requests that the process has rejected recently.
	Rejected []uint32
}

// received is a report with the time of its arrival.
type received struct {
	Report
	at time.Duration
}

const (
	// leastReported is the rate, in requests a second, below which a class is not reported.
	leastReported = 0.05

	// maxFigure bounds rates, times and numbers of slots of other processes, so that sums
	// don't overflow, and maxClasses the number of classes of one group.
	maxFigure  = 1e6
	maxClasses = 256
)

// Message returns what other processes need to know. It is empty if the Admitter is not in
// force.
func (a *Admitter) Message() Message {
	if !a.inForce() {
		return Message{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	out := Message{Rejected: a.rejected.shared(now)}
	for name, g := range a.groups {
		if len(g.own)+len(g.reports) == 0 && now-g.at > maxIdle {
			delete(a.groups, name)
			continue
		}
		s := a.supplies.Supply(name)
		r := Report{Group: name, InUse: s.InUse, PrefillFactor: g.prefill.factor, SlotFactor: g.slot.factor}
		for c, own := range g.own {
			if n := own.perSecond(now); n >= leastReported {
				r.Classes = append(r.Classes, Demand{c, n, own.mean.prefill, own.mean.slot, own.retries()})
			}
		}
		if len(r.Classes) > 0 || r.InUse > 0 {
			out.Reports = append(out.Reports, r)
		}
	}
	return out
}

// Merge records what another process tells. Its reports replace the earlier ones. Those with
// figures that can't be right are ignored.
func (a *Admitter) Merge(process string, m Message) {
	if !a.inForce() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.rejected.merge(m.Rejected, now)
	for _, g := range a.groups {
		delete(g.reports, process)
	}
	for _, r := range m.Reports {
		if r.valid() {
			a.group(r.Group).reports[process] = received{r, now}
		}
	}
}

// valid reports whether a report can be right.
func (r Report) valid() bool {
	for _, x := range []float64{r.PrefillFactor, r.SlotFactor} {
		if !valid(x, mostFactor) || x < leastFactor {
			return false
		}
	}
	ok := valid(r.InUse, maxFigure) && len(r.Classes) <= maxClasses
	for _, d := range r.Classes {
		ok = ok && valid(d.Rate, maxFigure) && valid(d.Prefill, maxFigure) && valid(d.Slot, maxFigure) && valid(d.Retries, 1+roundOff)
	}
	return ok
}
