package fleetdispatcher

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/sequencer"
)

// uses counts what a dispatcher has taken from one target and given back.
type uses struct{ picked, unpicked, begun, ended, turns, turnsEnded int }

// useCounter counts uses by target.
type useCounter struct {
	mu      sync.Mutex
	targets map[string]*uses
}

func (c *useCounter) count(target string, f func(*uses)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.targets[target]
	if u == nil {
		u = &uses{}
		c.targets[target] = u
	}
	f(u)
}

// leaks describes what has not been given back, in the order of the targets, or returns "".
func (c *useCounter) leaks() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for target, u := range c.targets {
		if u.picked != u.unpicked+u.begun || u.begun != u.ended || u.turns != u.turnsEnded {
			list = append(list, fmt.Sprintf("%s: picked %d, unpicked %d, begun %d, ended %d, turns %d, ended turns %d", target, u.picked, u.unpicked, u.begun, u.ended, u.turns, u.turnsEnded))
		}
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}

// countingRouter counts the targets that are picked, and the requests that begin and end.
type countingRouter struct {
	Router
	uses *useCounter
}

func (r countingRouter) pick(i radishspoke.Instance, err error) (radishspoke.Instance, error) {
	if err == nil {
		r.uses.count(i.ID, func(u *uses) { u.picked++ })
	}
	return i, err
}

// PickPrefill implements Router.
func (r countingRouter) PickPrefill(group radishspoke.Group, g *radishspoke.GenerationInfo, queueDelay fleetrouter.QueueDelay, left time.Duration, sel fleetrouter.Selection) (fleetrouter.Placement, error) {
	p, err := r.Router.PickPrefill(group, g, queueDelay, left, sel)
	_, err = r.pick(p.Engine, err)
	return p, err
}

// PickDecode implements Router.
func (r countingRouter) PickDecode(group, from string, sel fleetrouter.Selection) (radishspoke.Instance, error) {
	return r.pick(r.Router.PickDecode(group, from, sel))
}

// PickShort implements Router.
func (r countingRouter) PickShort(group string, sel fleetrouter.Selection) (radishspoke.Instance, error) {
	return r.pick(r.Router.PickShort(group, sel))
}

// PickPlain implements Router.
func (r countingRouter) PickPlain(group string, sel fleetrouter.Selection) (radishspoke.Instance, error) {
	return r.pick(r.Router.PickPlain(group, sel))
}

// Unpick implements Router.
func (r countingRouter) Unpick(target string) {
	r.uses.count(target, func(u *uses) { u.unpicked++ })
	r.Router.Unpick(target)
}

// Begin implements Router.
func (r countingRouter) Begin(target string) {
	r.uses.count(target, func(u *uses) { u.begun++ })
	r.Router.Begin(target)
}

// End implements Router.
func (r countingRouter) End(target string, rep fleetrouter.Report) {
	r.uses.count(target, func(u *uses) { u.ended++ })
	r.Router.End(target, rep)
}

// countingQueue counts the turns of prompts.
type countingQueue struct {
	PromptQueue
	uses *useCounter
}

// Wait implements PromptQueue.
func (q countingQueue) Wait(ctx context.Context, engine string, t sequencer.Ticket) (func(time.Duration), error) {
	finish, err := q.PromptQueue.Wait(ctx, engine, t)
	if err != nil {
		return nil, err
	}
	q.uses.count(engine, func(u *uses) { u.turns++ })
	var once sync.Once
	return func(took time.Duration) {
		once.Do(func() { q.uses.count(engine, func(u *uses) { u.turnsEnded++ }) })
		finish(took)
	}, nil
}
