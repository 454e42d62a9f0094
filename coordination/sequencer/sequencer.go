package sequencer

import (
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

	// InitialTurnTime is the assumed duration of a turn before any has been
	// measured. The default of 15 ms is the time to prefill 6,000 tokens.
	InitialTurnTime time.Duration
}

const (
	defaultWindow       = 1
	defaultLateInterval = 4
	defaultTurnTime     = 15 * time.Millisecond
	turnWeight          = 0.2                    // weight of the newest turn in the moving average
	maxTurnTime         = 500 * time.Millisecond // upper bound of one sample in the moving average
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
	OnTime    time.Duration // latest time of an answer that is on time
	Deadline  time.Duration // time after which an answer is useless
	AfterTurn time.Duration // expected time from the end of the turn to the answer

	result chan error
	queue  *queue
}

// queue holds the waiting requests of one engine.
type queue struct {
	waiting   []*Ticket
	inFlight  int
	meanTurn  time.Duration // moving average of the duration of a turn
	sinceLate int           // turns granted since the last one of a late request
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
	return time.Duration(1+(len(q.waiting)+q.inFlight)/s.settings.Window) * q.meanTurn
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
		q = &queue{meanTurn: s.settings.InitialTurnTime}
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
		once.Do(func() { s.finish(q, took) })
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
	t.queue.inFlight--
	s.grantTurns(t.queue)
	return cause
}

// finish ends a turn and, unless took is 0, updates the moving average of its
// duration.
func (s *Sequencer) finish(q *queue, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.inFlight--
	if took > 0 {
		took = min(took, maxTurnTime)
		q.meanTurn += time.Duration(turnWeight * float64(took-q.meanTurn))
	}
	s.grantTurns(q)
}

// grantTurns grants the free turns of a queue to its waiting requests.
func (s *Sequencer) grantTurns(q *queue) {
	now := s.clock.Now()
	q.rejectUnreachable(now)
	for q.inFlight < s.settings.Window && len(q.waiting) > 0 {
		i := q.next(now, s.settings.LateInterval)
		t := q.waiting[i]
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.inFlight++
		t.result <- nil
	}
}

// unreachable reports whether a new request, queued behind all that are waiting,
// is expected to miss its deadline.
func (q *queue) unreachable(t *Ticket, now time.Duration, window int) bool {
	ahead := time.Duration((len(q.waiting)+q.inFlight)/window) * q.meanTurn
	return now+ahead+q.meanTurn+t.AfterTurn > t.Deadline
}

// rejectUnreachable rejects the waiting requests that cannot be answered before
// their deadline.
func (q *queue) rejectUnreachable(now time.Duration) {
	n := 0
	for _, t := range q.waiting {
		if now+q.meanTurn+t.AfterTurn > t.Deadline {
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
// earliest deadline.
func (q *queue) next(now time.Duration, lateInterval int) int {
	onTime, late := -1, -1
	for i, t := range q.waiting {
		if now+q.meanTurn+t.AfterTurn <= t.OnTime {
			if onTime < 0 || precedes(t, q.waiting[onTime]) {
				onTime = i
			}
		} else if late < 0 || t.Deadline < q.waiting[late].Deadline {
			late = i
		}
	}
	if onTime >= 0 && (late < 0 || q.sinceLate < lateInterval-1) {
		q.sinceLate++
		return onTime
	}
	q.sinceLate = 0
	return late
}

// precedes reports whether a goes before b if both can be on time.
func precedes(a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.OnTime < b.OnTime
}
