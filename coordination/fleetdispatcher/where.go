package fleetdispatcher

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/admitter"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/platform"
)

// ErrNoAnswer is returned for a question that names what the configuration does not have.
var ErrNoAnswer = errors.New("not in the configuration")

// Question describes a request, of which it is asked where it would go.
type Question struct {
	Route, Team string // names; without a team, the request is on an open route
	ID          string // may decide between groups, and whether a part of the requests includes it
	Deadline    time.Duration
	Generation  *radishspoke.GenerationInfo // nil for plain services
}

// Location tells where a request would go now.
type Location struct {
	Group      string
	Admitted   bool
	Fraction   float64       // of the requests like this one that are admitted
	Reason     string        `json:",omitempty"` // why the request would be rejected
	RetryAfter time.Duration `json:",omitempty"`
	FirstToken time.Duration `json:",omitempty"` // expected time to it, at the chosen targets

	// Candidates are all targets of the group, by role, the chosen ones first.
	Candidates []fleetrouter.Candidate
}

// Explainer tells how targets are compared. See fleetrouter.Router.
type Explainer interface {
	Explain(q fleetrouter.Question, queueDelay fleetrouter.QueueDelay, sel fleetrouter.Selection) []fleetrouter.Candidate
}

// Previewer tells what the Admitter would decide. See admitter.Admitter.
type Previewer interface {
	Preview(r admitter.Request) admitter.Decision
}

// Where returns where a request would go now, and why. Nothing is counted, reserved or sent.
// The errors wrap ErrNoAnswer.
func (d *Dispatcher) Where(q Question, e Explainer, p Previewer) (Location, error) {
	j, err := d.imagine(q)
	if err != nil {
		return Location{}, err
	}
	out := Location{Group: j.group.Name, Admitted: true, Fraction: 1}
	if d.Admitter != nil {
		c := p.Preview(d.admission(j))
		out.Fraction, out.RetryAfter = c.Fraction, c.RetryAfter
		if c.Reason != "" {
			out.Admitted, out.Reason = false, string(c.Reason)
		}
	}
	firstEvent := time.Duration(0)
	question := fleetrouter.Question{Group: j.group}
	if !j.plain() {
		firstEvent = d.Estimator.Timing(j.group.Name).FirstEvent
		question.Generation, question.Separate = j.incoming.Generation, d.readSeparately(j)
		question.Left = j.startBy - d.Clock.Now() - firstEvent
	}
	out.Candidates = e.Explain(question, d.expectedWait, j.selection())
	for _, c := range out.Candidates {
		if c.Chosen && !j.plain() {
			out.FirstToken += c.Wait + c.Prefill + c.Transfer
		}
	}
	if out.FirstToken > 0 || !j.plain() {
		out.FirstToken += firstEvent
	}
	return out, nil
}

// imagine returns the job of a request that has not arrived.
func (d *Dispatcher) imagine(q Question) (*job, error) {
	c := d.Configurations.Configuration()
	if c == nil {
		return nil, fmt.Errorf("%w: no configuration is known yet", ErrNoAnswer)
	}
	j := &job{arrived: d.Clock.Now(), table: c.Table, excluded: map[string]bool{}}
	j.incoming = platform.CallerHeader{ID: q.ID, Deadline: q.Deadline, Generation: q.Generation}
	found := false
	for _, r := range c.Table.Rules {
		if r.Name == q.Route {
			j.rule, found = r, true
		}
	}
	if !found {
		return nil, fmt.Errorf("%w: route %q", ErrNoAnswer, q.Route)
	}
	found = q.Team == ""
	for _, t := range c.Table.Teams {
		if t.Name == q.Team {
			j.team, found = t, true
		}
	}
	if !found {
		return nil, fmt.Errorf("%w: team %q", ErrNoAnswer, q.Team)
	}
	j.group = c.Table.Groups[chooseGroup(j.rule, q.ID)]
	j.deadline = j.arrived + j.timeLimit()
	j.setLimits()
	return j, nil
}
