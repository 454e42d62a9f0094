package sequencer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// ErrHopeless says that a request can't be answered before its deadline.
var ErrHopeless = errors.New("no turn before the deadline")

// Settings of a Sequencer.
type Settings struct {
	// Window is the most prompts under way at one engine; 1 if zero.
	Window int

	// LateShare is the number of turns of which one goes to a late request
	// while others are waiting that can be on time; 4 if zero.
	LateShare int

	// Pace is what a turn is expected to take before any was measured;
	// 15 ms if zero, the time of a prompt of 6,000 tokens.
	Pace time.Duration
}

const (
	defaultWindow    = 1
	defaultLateShare = 4
	defaultPace      = 15 * time.Millisecond
	paceWeight       = 0.2 // of the newest turn in the mean
	mostPace         = 500 * time.Millisecond
)

func (s *Settings) fill() {
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	if s.LateShare == 0 {
		s.LateShare = defaultLateShare
	}
	if s.Pace == 0 {
		s.Pace = defaultPace
	}
}

// Ticket is one request for a turn. Times are of the sequencer's clock.
type Ticket struct {
	Rank     int           // lower goes first among those on time
	OnTime   time.Duration // until when an answer is on time
	Deadline time.Duration // until when it is of any use
	Rest     time.Duration // what is left to do after the turn

	granted chan error
	queue   *queue
}

// queue is one engine's.
type queue struct {
	waiting []*Ticket
	busy    int
	pace    time.Duration // mean time of a turn
	granted int           // turns since the last late one
}

// Sequencer orders the prompts of one process. Its methods may be called at once
// from many goroutines. Make it with New.
type Sequencer struct {
	settings Settings
	clock    radishspoke.Clock

	mu     sync.Mutex
	queues map[string]*queue // by engine
}

// New returns a Sequencer without requests.
func New(s Settings, c radishspoke.Clock) *Sequencer {
	s.fill()
	return &Sequencer{settings: s, clock: c, queues: map[string]*queue{}}
}

// Expect returns how long a new request would wait for its turn at an engine,
// and take it.
func (s *Sequencer) Expect(engine string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[engine]
	if !ok {
		return s.settings.Pace
	}
	return time.Duration(1+(len(q.waiting)+q.busy)/s.settings.Window) * q.pace
}

// Waiting returns how many requests wait for a turn at an engine.
func (s *Sequencer) Waiting(engine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok := s.queues[engine]; ok {
		return len(q.waiting)
	}
	return 0
}

// Wait waits for a turn. Done must be called when the turn is over, with the
// time that it took, or 0 if that says nothing of the engine. The error is
// ErrHopeless or that of ctx.
func (s *Sequencer) Wait(ctx context.Context, engine string, t Ticket) (done func(took time.Duration), err error) {
	t.granted = make(chan error, 1)
	s.mu.Lock()
	q, ok := s.queues[engine]
	if !ok {
		q = &queue{pace: s.settings.Pace}
		s.queues[engine] = q
	}
	if q.hopeless(&t, s.clock.Now(), s.settings.Window) {
		s.mu.Unlock()
		return nil, ErrHopeless
	}
	t.queue = q
	q.waiting = append(q.waiting, &t)
	s.grant(q)
	s.mu.Unlock()
	select {
	case err = <-t.granted:
	case <-ctx.Done():
		err = s.leave(&t, ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	var once sync.Once
	return func(took time.Duration) {
		once.Do(func() { s.done(q, took) })
	}, nil
}

// leave takes a ticket out of its queue. A turn that it got meanwhile is given
// back.
func (s *Sequencer) leave(t *Ticket, why error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range t.queue.waiting {
		if w == t {
			t.queue.waiting = append(t.queue.waiting[:i], t.queue.waiting[i+1:]...)
			return why
		}
	}
	if err := <-t.granted; err != nil {
		return err
	}
	t.queue.busy--
	s.grant(t.queue)
	return why
}

func (s *Sequencer) done(q *queue, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.busy--
	if took > 0 {
		took = min(took, mostPace)
		q.pace += time.Duration(paceWeight * float64(took-q.pace))
	}
	s.grant(q)
}

// grant gives out the free turns of a queue.
func (s *Sequencer) grant(q *queue) {
	now := s.clock.Now()
	q.dismiss(now)
	for q.busy < s.settings.Window && len(q.waiting) > 0 {
		i := q.next(now, s.settings.LateShare)
		t := q.waiting[i]
		q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
		q.busy++
		t.granted <- nil
	}
}

// hopeless tells whether a new request is not expected to get its turn before
// its deadline, behind all that are waiting.
func (q *queue) hopeless(t *Ticket, now time.Duration, window int) bool {
	ahead := time.Duration((len(q.waiting)+q.busy)/window) * q.pace
	return now+ahead+q.pace+t.Rest > t.Deadline
}

// dismiss sends away those that can't be answered before their deadline.
func (q *queue) dismiss(now time.Duration) {
	n := 0
	for _, t := range q.waiting {
		if now+q.pace+t.Rest > t.Deadline {
			t.granted <- ErrHopeless
			continue
		}
		q.waiting[n] = t
		n++
	}
	clear(q.waiting[n:])
	q.waiting = q.waiting[:n]
}

// next returns the index of the request whose turn it is.
func (q *queue) next(now time.Duration, lateShare int) int {
	timely, late := -1, -1
	for i, t := range q.waiting {
		if now+q.pace+t.Rest <= t.OnTime {
			if timely < 0 || before(t, q.waiting[timely]) {
				timely = i
			}
		} else if late < 0 || t.Deadline < q.waiting[late].Deadline {
			late = i
		}
	}
	if timely >= 0 && (late < 0 || q.granted < lateShare-1) {
		q.granted++
		return timely
	}
	q.granted = 0
	return late
}

func before(a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.OnTime < b.OnTime
}
