package sequencer

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// ErrDeadlineUnreachable is returned if a request cannot be answered before its
// deadline.
var ErrDeadlineUnreachable = errors.New("no turn before the deadline")

// Settings holds the parameters of a Sequencer. A zero value selects the
// default.
type Settings struct {
	// Window is the maximum number of prompts in flight at one engine. The
	// default is 1.
	Window int

	// LateInterval sets the share of late requests: while late requests and
	// requests that can still be on time are both waiting, one turn in
	// LateInterval goes to a late one. The default is 4.
	LateInterval int

	// InitialTurnTime is the assumed duration of a turn of a ticket that states
	// none, before any has been measured. The default is 15 ms.
	InitialTurnTime time.Duration
}

const (
	defaultWindow       = 1
	defaultLateInterval = 4
	defaultTurnTime     = 15 * time.Millisecond
	turnWeight          = 0.2                    // weight of the newest turn in the moving averages
	maxTurnTime         = 500 * time.Millisecond // upper bound of one sample in the moving average

	// minStretch and maxStretch bound one sample of the duration of a turn relative
	// to the stated one.
	minStretch = 0.25
	maxStretch = 8
)

func (s *Settings) setDefaults() {
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	if s.LateInterval == 0 {
		s.LateInterval = defaultLateInterval
	}
	if s.InitialTurnTime == 0 {
		s.InitialTurnTime = defaultTurnTime
	}
}

// Ticket describes a request that needs a turn. Times are those of the clock of
// the Sequencer.
type Ticket struct {
	Rank      int           // among requests that can be on time, lower ranks go first
	Work      int           // among those of one rank, less work goes first; 0 if tickets are not ordered by value
	OnTime    time.Duration // latest time of an answer that is on time
	Deadline  time.Duration // time after which an answer is useless
	AfterTurn time.Duration // expected time from the end of the turn to the answer

	// Turn is the time of the turn at an engine that does nothing else. If it is 0,
	// the mean duration of a turn is expected.
	Turn time.Duration

	result chan error
	queue  *queue
}

// queue holds the waiting requests of one engine.
type queue struct {
	waiting   []*Ticket
	inFlight  []*Ticket
	meanTurn  time.Duration // moving average of the duration of a turn
	stretch   float64       // moving average of the duration of a turn relative to the stated one
	sinceLate int           // turns granted since the last one of a late request
}

// turn returns the expected duration of the turn of a ticket.
func (q *queue) turn(t *Ticket) time.Duration {
	if t.Turn <= 0 {
		return q.meanTurn
	}
	return time.Duration(q.stretch * float64(t.Turn))
}

// wait returns the expected time until a further ticket gets a turn.
func (q *queue) wait(window int) time.Duration {
	sum := time.Duration(0)
	for _, t := range q.waiting {
		sum += q.turn(t)
	}
	for _, t := range q.inFlight {
		sum += q.turn(t)
	}
	if len(q.waiting)+len(q.inFlight) < window {
		return 0
	}
	return sum / time.Duration(window)
}

// Sequencer orders the prompts of one process. It is safe for concurrent use.
// Create it with New.
type Sequencer struct {
	settings Settings
	clock    radishspoke.Clock

	mu     sync.Mutex
	queues map[string]*queue // by engine
}

// New returns a Sequencer without requests.
func New(s Settings, c radishspoke.Clock) *Sequencer {
	s.setDefaults()
	return &Sequencer{settings: s, clock: c, queues: map[string]*queue{}}
}

// ExpectedDelay returns how long a new request is expected to wait for a turn at
// an engine, including the turn itself.
func (s *Sequencer) ExpectedDelay(engine string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[engine]
	if !ok {
		return s.settings.InitialTurnTime
	}
	return q.wait(s.settings.Window) + q.meanTurn
}

// ExpectedWait returns how long a new request is expected to wait for a turn at an
// engine.
func (s *Sequencer) ExpectedWait(engine string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[engine]
	if !ok {
		return 0
	}
	return q.wait(s.settings.Window)
}

// Keep forgets the queues of all engines but those listed, unless requests wait
// there.
func (s *Sequencer) Keep(list []radishspoke.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
	}
	for id, q := range s.queues {
		if !listed[id] && len(q.waiting)+len(q.inFlight) == 0 {
			delete(s.queues, id)
		}
	}
}

// Waiting returns the number of requests that wait for a turn at an engine.
func (s *Sequencer) Waiting(engine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok := s.queues[engine]; ok {
		return len(q.waiting)
	}
	return 0
}

// Wait blocks until the request gets a turn at an engine. The caller must call
// finish when the turn ends, with its duration, or with 0 to leave it out of the
// moving average. The error is ErrDeadlineUnreachable or the error of ctx.
func (s *Sequencer) Wait(ctx context.Context, engine string, t Ticket) (finish func(took time.Duration), err error) {
	t.result = make(chan error, 1)
	s.mu.Lock()
	q, ok := s.queues[engine]
	if !ok {
		q = &queue{meanTurn: s.settings.InitialTurnTime, stretch: 1}
		s.queues[engine] = q
	}
	if q.unreachable(&t, s.clock.Now(), s.settings.Window) {
		s.mu.Unlock()
		return nil, ErrDeadlineUnreachable
	}
	t.queue = q
	q.waiting = append(q.waiting, &t)
	s.grantTurns(q)
	s.mu.Unlock()
	select {
	case err = <-t.result:
	case <-ctx.Done():
		err = s.cancel(&t, ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	var once sync.Once
	return func(took time.Duration) {
		once.Do(func() { s.finish(&t, took) })
	}, nil
}

// cancel removes a ticket from its queue and returns the cause. If the ticket
// has been granted a turn in the meantime, the turn is released. If it has been
// rejected, cancel returns that error instead.
func (s *Sequencer) cancel(t *Ticket, cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range t.queue.waiting {
		if w == t {
			t.queue.waiting = append(t.queue.waiting[:i], t.queue.waiting[i+1:]...)
			return cause
		}
	}
	if err := <-t.result; err != nil {
		return err
	}
	t.queue.end(t)
	s.grantTurns(t.queue)
	return cause
}

// finish ends a turn and, unless took is 0, updates the moving averages of its
// duration.
func (s *Sequencer) finish(t *Ticket, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := t.queue
	q.end(t)
	if took > 0 {
		q.meanTurn += time.Duration(turnWeight * float64(min(took, maxTurnTime)-q.meanTurn))
		if t.Turn > 0 {
			ratio := min(maxStretch, max(minStretch, float64(took)/float64(t.Turn)))
			q.stretch += turnWeight * (ratio - q.stretch)
		}
	}
	s.grantTurns(q)
}

// end removes a ticket from those in flight.
func (q *queue) end(t *Ticket) {
	for i, f := range q.inFlight {
		if f == t {
			q.inFlight = append(q.inFlight[:i], q.inFlight[i+1:]...)
			return
		}
	}
}

// grantTurns grants the free turns of a queue to its waiting requests.
func (s *Sequencer) grantTurns(q *queue) {
	now := s.clock.Now()
	q.rejectUnreachable(now)
	for len(q.inFlight) < s.settings.Window && len(q.waiting) > 0 {
		i := q.next(now, s.settings.LateInterval)
		t := q.waiting[i]
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.inFlight = append(q.inFlight, t)
		t.result <- nil
	}
}

// unreachable reports whether a new request, queued behind all that are waiting,
// is expected to miss its deadline.
func (q *queue) unreachable(t *Ticket, now time.Duration, window int) bool {
	return now+q.wait(window)+q.turn(t)+t.AfterTurn > t.Deadline
}

// rejectUnreachable rejects the waiting requests that cannot be answered before
// their deadline.
func (q *queue) rejectUnreachable(now time.Duration) {
	n := 0
	for _, t := range q.waiting {
		if now+q.turn(t)+t.AfterTurn > t.Deadline {
			t.result <- ErrDeadlineUnreachable
			continue
		}
		q.waiting[n] = t
		n++
	}
	clear(q.waiting[n:])
	q.waiting = q.waiting[:n]
}

// next returns the index of the request that gets the next turn: the first of those
// that can be on time or, in one turn of lateInterval, the late request with the
// earliest deadline. Where tickets are ordered by value, the turn of lateInterval is that of
// the request with the earliest deadline among those of lower ranks than the first.
func (q *queue) next(now time.Duration, lateInterval int) int {
	onTime, late := -1, -1
	for i, t := range q.waiting {
		if q.onTime(t, now) {
			if onTime < 0 || precedes(t, q.waiting[onTime]) {
				onTime = i
			}
		} else if late < 0 || t.Deadline < q.waiting[late].Deadline {
			late = i
		}
	}
	if q.waiting[0].Work > 0 {
		onTime, late = q.byValue(now)
	}
	if onTime >= 0 && (late < 0 || q.sinceLate < lateInterval-1) {
		q.sinceLate++
		return onTime
	}
	q.sinceLate = 0
	return late
}

// onTime reports whether a request can be on time if it gets a turn.
func (q *queue) onTime(t *Ticket, now time.Duration) bool {
	return now+q.turn(t)+t.AfterTurn <= t.OnTime
}

// byValue returns the indexes of the request with the greatest value and of the one with the
// earliest deadline among those of lower ranks, or -1 if there is none.
func (q *queue) byValue(now time.Duration) (first, lower int) {
	first, lower = 0, -1
	for i, t := range q.waiting {
		best := q.waiting[first]
		inTime, bestInTime := q.onTime(t, now), q.onTime(best, now)
		if t.Rank < best.Rank || t.Rank == best.Rank && (inTime && !bestInTime || inTime == bestInTime && precedes(t, best)) {
			first = i
		}
	}
	for i, t := range q.waiting {
		if t.Rank > q.waiting[first].Rank && (lower < 0 || t.Deadline < q.waiting[lower].Deadline) {
			lower = i
		}
	}
	return first, lower
}

// precedes reports whether a goes before b if both can be on time, or both can't.
func precedes(a, b *Ticket) bool {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Work, b.Work), cmp.Compare(a.OnTime, b.OnTime)) < 0
}
