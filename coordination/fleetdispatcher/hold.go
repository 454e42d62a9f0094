package fleetdispatcher

import (
	"context"
	"maps"
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
)

// Rooms tells where decode engines are full, and learns it from their answers. See
// fleetrouter.Router.
type Rooms interface {
	// Crowded reports whether decode engines of a group have refused requests for want of
	// room a short time ago.
	Crowded(group string) bool

	// Reported records what a target says of its load.
	Reported(target string, r fleetrouter.Report)
}

// HoldRecorder counts holds.
type HoldRecorder interface {
	// ObserveHold records a hold that was "taken", "refused" or "dropped".
	ObserveHold(what string)
}

const (
	// maxHoldTries is the number of engines that are asked for a hold before a request waits.
	maxHoldTries = 2

	// holdFactor and holdMargin give the lifetime of a hold: holdFactor times the expected
	// time until it is used, plus holdMargin.
	holdFactor = 2
	holdMargin = 100 * time.Millisecond

	// holdLead is the time before the expected turn of a prompt at which its hold is asked
	// for: a round trip to the engine and the error of the expected wait.
	holdLead = 15 * time.Millisecond

	// minRoomWait and maxRoomWait bound the time that a request waits for room after engines
	// have refused it a hold.
	minRoomWait = 20 * time.Millisecond
	maxRoomWait = 60 * time.Millisecond
)

// hold is capacity that a decode engine has reserved for a request.
type hold struct {
	id      string
	engine  radishspoke.Instance
	until   time.Duration // end of the hold, at the earliest
	dropped bool
}

// covers reports whether the hold lasts for a time from now on.
func (h *hold) covers(now, d time.Duration) bool { return now+d < h.until }

// holdResult is the outcome of a try to take a hold.
type holdResult int

const (
	holdUnused  holdResult = iota // holds are not in use
	holdFailed                    // no engine has answered: the request goes on without
	holdTaken                     // capacity is reserved
	holdRefused                   // the engines that were asked have no room
)

// holdsOffered reports whether the engines of a request take holds.
func holdsOffered(j *job) bool { return j.group.Engine != nil && j.group.Engine.HoldTime > 0 }

// holdsInUse reports whether a request needs a hold before its prompt is prefilled.
func (d *Dispatcher) holdsInUse(j *job) bool {
	return holdsOffered(j) && !j.noHold && d.Router.Crowded(j.group.Name)
}

// holdTokens returns the number of tokens that a request is expected to have in the cache of
// the decode engine at its end.
func (d *Dispatcher) holdTokens(j *job) int {
	g := j.incoming.Generation
	n := g.Prompt + int(math.Ceil(float64(g.Output)*d.Estimator.Timing(j.group.Name).OutputShare))
	if limit := j.group.Engine.CacheTokens; limit > 0 {
		n = min(n, limit)
	}
	return n
}

// takeHold takes a hold for a request at one of the decode engines that sel allows, for about
// the given time. The zone is that of the prefill engine. The engine of the hold is picked.
func (d *Dispatcher) takeHold(ctx context.Context, j *job, sel fleetrouter.Selection, zone string, need time.Duration) (*hold, holdResult) {
	if !d.holdsInUse(j) {
		return nil, holdUnused
	}
	sel.Hold = true
	sel.Exclude = maps.Clone(sel.Exclude)
	lifetime := min(j.group.Engine.HoldTime, holdFactor*need+holdMargin)
	result, tries := holdUnused, maxHoldTries
	if sel.Best {
		tries = 1 // the request has waited, and other engines have no more room than this one
	}
	for range tries {
		if ctx.Err() != nil {
			break
		}
		t, err := d.Router.PickDecode(j.group.Name, zone, sel)
		if err != nil {
			break
		}
		sel.Exclude[t.ID] = true
		asked := d.Clock.Now()
		id, a, err := relayer.TakeHold(ctx, d.Targets, t, d.holdTokens(j), lifetime)
		refused := errors.Is(err, relayer.ErrHoldRefused)
		d.Router.Reported(t.ID, d.loadReport(a, refused && !a.Leaving && !a.Limited))
		if err == nil {
			d.Recorder.ObserveHold("taken")
			return &hold{id: id, engine: t, until: asked + lifetime}, holdTaken
		}
		d.Router.Unpick(t.ID)
		if refused {
			d.Recorder.ObserveHold("refused")
			result = holdRefused
		} else {
			d.Log.Info("request for a hold failed", "id", j.incoming.ID, "engine", t.ID, "error", err)
			result = max(result, holdFailed)
		}
	}
	return nil, result
}

// dropHold releases a hold that is not used, unless it has ended by itself. A nil hold is ignored.
func (d *Dispatcher) dropHold(h *hold) {
	if h == nil || h.dropped || !h.covers(d.Clock.Now(), 0) {
		return
	}
	h.dropped = true
	d.Recorder.ObserveHold("dropped")
	relayer.DropHold(d.Targets, h.engine, h.id, d.Log)
}

// release drops a hold and the choice of its engine.
func (d *Dispatcher) release(h *hold) {
	if h != nil {
		d.Router.Unpick(h.engine.ID)
		d.dropHold(h)
	}
}

// holdTask takes a hold for a request while its prompt waits for its turn.
type holdTask struct {
	cancel context.CancelFunc
	turn   chan struct{} // closed when the prompt has its turn
	done   chan struct{} // closed when the results are set
	hold   *hold
	result holdResult
}

// startHold begins to take a hold for a request whose prompt is expected to wait for a time. The
// engine is asked shortly before the turn, so that it does not keep idle capacity meanwhile. It
// returns nil if the engines offer no holds.
func (d *Dispatcher) startHold(ctx context.Context, j *job, sel fleetrouter.Selection, zone string, wait, need time.Duration) *holdTask {
	if !holdsOffered(j) || j.noHold {
		return nil
	}
	t := &holdTask{turn: make(chan struct{}), done: make(chan struct{})}
	ctx, t.cancel = context.WithCancel(ctx)
	copied := *j // the request goes on while the engine is asked
	go func() {
		defer close(t.done)
		timer := time.NewTimer(max(0, wait-holdLead))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-t.turn:
		case <-ctx.Done():
			return
		}
		t.hold, t.result = d.takeHold(ctx, &copied, sel, zone, need+holdLead)
	}()
	return t
}

// finish waits for the result when the prompt has its turn.
func (t *holdTask) finish() (*hold, holdResult) {
	if t == nil {
		return nil, holdUnused
	}
	defer t.cancel()
	close(t.turn)
	<-t.done
	return t.hold, t.result
}

// abandon ends the task of a prompt that gets no turn.
func (d *Dispatcher) abandon(t *holdTask) {
	if t == nil {
		return
	}
	t.cancel()
	<-t.done
	d.release(t.hold)
}

// mustGoOn reports whether refusing a request would lose more than a prefill: it may have run,
// or the caller has a part of the answer.
func (j *job) mustGoOn() bool { return j.mayHaveRun || j.firstEvent > 0 || j.resumesStream() }

// awaitRoom lets a request to which engines have refused a hold wait for a short time, if it can
// still be on time after that, and the given time until its first event. Otherwise it returns the
// failure of the request, or lets it go on without a hold.
func (d *Dispatcher) awaitRoom(ctx context.Context, j *job, need time.Duration) *radishspoke.Failure {
	limit := j.startBy
	if !j.mustGoOn() && j.rule.Objective > 0 {
		limit = min(limit, j.onTime)
	}
	spread := time.Duration(xxhash.Sum64String(j.incoming.ID) % uint64(maxRoomWait-minRoomWait))
	wait := minRoomWait + spread
	if d.Clock.Now()+wait+need >= limit {
		if j.mustGoOn() {
			j.noHold = true
			return nil
		}
		return d.failure(j, "room", "the engines have no room for the answer")
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return d.failure(j, "room", "the engines had no room for the answer")
	}
}

// holdDecoder takes a hold for a request whose prompt has been prefilled by another engine, if
// holds are in use and it has none that lasts.
func (d *Dispatcher) holdDecoder(ctx context.Context, j *job, p *prefillPlan) *radishspoke.Failure {
	if p.hold != nil && p.relay == nil && (d.Router.Leaving(p.hold.engine.ID) || !p.hold.covers(d.Clock.Now(), 0)) {
		d.release(p.hold)
		p.hold, p.decoder = nil, nil
	}
	if p.decoder != nil || p.handle == nil {
		return nil
	}
	t := d.Estimator.Timing(j.group.Name)
	sel := j.selection()
	for {
		h, result := d.takeHold(ctx, j, sel, p.zone, t.Transfer)
		j.noHold = j.noHold || result == holdFailed
		if result != holdRefused {
			p.useHold(h)
			return nil
		}
		if fail := d.awaitRoom(ctx, j, t.Transfer+t.FirstEvent); fail != nil {
			return fail
		}
		sel = j.selection()
		sel.Best = true
	}
}

// useHold makes the engine of a hold the decode engine of a plan. A nil hold is ignored.
func (p *prefillPlan) useHold(h *hold) {
	if h != nil {
		p.hold, p.decoder = h, &h.engine
	}
}

// holdID returns the id of the hold that the request presents, or "" if it has none.
func (p prefillPlan) holdID() string {
	if p.hold == nil {
		return ""
	}
	return p.hold.id
}

// holdTime returns the time for which the hold of a plan lasts.
func (p prefillPlan) holdTime(now time.Duration) time.Duration {
	if p.hold == nil {
		return 0
	}
	return p.hold.until - now
}

// outlastsHold reports whether a hold that is needed would end within the given time. Such a
// request waits at this process, which takes the hold at its turn, and not at a sidecar.
func (d *Dispatcher) outlastsHold(j *job, need time.Duration) bool {
	return d.holdsInUse(j) && need >= j.group.Engine.HoldTime
}

// lacksRoom reports whether an answer refuses a request for want of room. Targets that leave or
// state a limit refuse for other reasons.
func lacksRoom(status int, a platform.AnswerHeader) bool {
	return status == http.StatusServiceUnavailable && a.NotRun && !a.Leaving && !a.Limited
}
