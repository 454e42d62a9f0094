package fleetdispatcher

import (
	"context"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/registrar"
)

// Streams keeps which software version began each stream. See registrar.Registrar.
type Streams interface {
	// Begin records that a version begins a stream, for the given time.
	Begin(k registrar.Key, v registrar.Version, keep time.Duration)

	// Find returns the version that began a stream that a new request of group resumes,
	// and that can have lasted for the time span. The error is registrar.ErrUnknown if it
	// is not known.
	Find(ctx context.Context, k registrar.Key, group string, span time.Duration) (registrar.Version, error)
}

// resumptionTime is the time after its deadline for which a stream may be resumed. Callers
// wait for at most a third of the time that they have left before they try again.
const resumptionTime = 30 * time.Second

// resumptionMargin is added to the age that a stream can have. It covers the way of a request
// and the time that a change of the list of targets takes to reach all processes.
const resumptionMargin = 3 * time.Second

// patienceRecord keeps for how long the callers of each route wait for an answer at most, with
// all their attempts.
type patienceRecord struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// observe records the time that the caller of a new stream waits.
func (p *patienceRecord) observe(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest[j.rule.Name] = max(p.longest[j.rule.Name], j.incoming.Deadline)
}

// maxAge returns the age that a stream can have whose caller takes it up again: the time for
// which callers of the route wait, less what this one has left.
func (p *patienceRecord) maxAge(j *job) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := max(p.longest[j.rule.Name], j.rule.Timeout)
	if longest == 0 {
		longest = defaultDeadline
	}
	return max(0, longest-j.incoming.Deadline) + resumptionMargin
}

// selection returns the targets that may get the request: once a stream has begun, those with
// the software version that began it, and once as many may have run it as the route allows,
// those.
func (j *job) selection() fleetrouter.Selection {
	sel := fleetrouter.Selection{Exclude: j.excluded, Software: j.software, Regions: j.regions}
	if len(j.ran) >= j.rule.Attempts {
		sel.Among = j.ran
	}
	return sel
}

// resumesStream reports whether the caller has received events of the stream before.
func (j *job) resumesStream() bool {
	return j.rule.Kind == radishspoke.Streaming && j.incoming.LastEvent != "" && j.firstEvent == 0
}

// findVersion sets the group and the software version of a request that resumes a stream.
func (d *Dispatcher) findVersion(ctx context.Context, j *job) *radishspoke.Failure {
	v, err := d.Streams.Find(ctx, registrar.NewKey(j.team.Name, j.incoming.Resumes), j.group.Name, d.patience.maxAge(j))
	if err != nil {
		d.Recorder.ObserveResumption(true, "unknown")
		return d.failure(j, "stream", err.Error())
	}
	for _, c := range j.rule.Choices {
		if c.Group == v.Group {
			j.group, j.software = j.table.Groups[v.Group], v.Software
			return nil
		}
	}
	d.Recorder.ObserveResumption(true, "gone")
	return d.failure(j, "stream", "the route does not lead any more to the service that began the stream")
}

// beginStream records which software version begins the stream of a request, before the
// first part of the answer is passed on. A request that resumes a stream renews the record.
func (d *Dispatcher) beginStream(j *job) {
	if j.rule.Kind != radishspoke.Streaming {
		return
	}
	j.software = j.current.Software
	if !j.rule.Resumable || j.software == "" {
		return
	}
	v, keep := registrar.Version{Group: j.group.Name, Software: j.software}, j.deadline-d.Clock.Now()+resumptionTime
	d.Streams.Begin(registrar.NewKey(j.team.Name, j.incoming.ID), v, keep)
	if j.incoming.Resumes != "" {
		d.Streams.Begin(registrar.NewKey(j.team.Name, j.incoming.Resumes), v, keep)
	}
}

// recordResumption records that the target of a request has begun to answer, if it resumes
// a stream.
func (d *Dispatcher) recordResumption(j *job) {
	if j.rule.Kind != radishspoke.Streaming || j.incoming.LastEvent == "" {
		return
	}
	byCaller, software := j.firstEvent == 0, "other"
	if j.software == j.current.Software {
		software = "same"
	}
	d.Recorder.ObserveResumption(byCaller, software)
	d.Log.Info("stream resumed", "id", j.incoming.ID, "attempt", j.incoming.Resumes, "after", j.incoming.LastEvent,
		"target", j.current.ID, "software", j.current.Software, "before", j.software, "caller", byCaller)
}

// recordRefusal records that a request that resumes a stream ends with a failure, unless its
// software version was the reason, which is recorded where it is found.
func (d *Dispatcher) recordRefusal(j *job, fail *radishspoke.Failure) {
	switch {
	case !j.resumesStream() || fail.Code == "stream":
	case fail.Code == "rate":
		d.Recorder.ObserveResumption(true, "limited")
	default:
		d.Recorder.ObserveResumption(true, "failed")
	}
}

// noVersion returns the failure of a request that no target of the software version can
// resume.
func (d *Dispatcher) noVersion(j *job) *radishspoke.Failure {
	if j.resumesStream() {
		d.Recorder.ObserveResumption(true, "gone")
	}
	return d.failure(j, "stream", "no target with the software version that began the stream takes it; begin the request anew")
}
