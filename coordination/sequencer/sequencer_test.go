package sequencer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/coordination/sequencer"
	"radishspoke/internal/trial"
)

const ms = time.Millisecond

// waiter queues tickets and notes who gets turns.
type waiter struct {
	u    *sequencer.Sequencer
	got  chan string
	done map[string]func(time.Duration)
}

func newWaiter(s sequencer.Settings, c *trial.Clock) *waiter {
	return &waiter{u: sequencer.New(s, c), got: make(chan string, 64), done: map[string]func(time.Duration){}}
}

// queue asks for a turn and returns once the ticket waits or has its turn.
func (w *waiter) queue(name string, t sequencer.Ticket) {
	before := w.u.Waiting("e")
	result := make(chan struct{})
	go func() {
		done, err := w.u.Wait(context.Background(), "e", t)
		if err != nil {
			w.got <- name + ": " + err.Error()
		} else {
			w.done[name] = done
			w.got <- name
		}
		close(result)
	}()
	for w.u.Waiting("e") == before {
		select {
		case <-result:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func (w *waiter) finish(name string) { w.done[name](15 * ms) }

// TestRush answers a rush in which more comes than can be on time: what can be
// on time goes before what is late, the late get one turn in four, and what is
// past its deadline is sent away.
func TestRush(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: time.Hour}
	w := newWaiter(sequencer.Settings{}, clock)
	at := func(onTime, deadline time.Duration) sequencer.Ticket {
		return sequencer.Ticket{OnTime: clock.At + onTime, Deadline: clock.At + deadline}
	}
	w.queue("first", at(150*ms, 2000*ms))
	c.Assert(<-w.got, qt.Equals, "first")
	w.queue("late1", at(5*ms, 2000*ms))
	w.queue("late2", at(5*ms, 1900*ms))
	for _, n := range []string{"a", "b", "c", "d"} {
		w.queue(n, at(150*ms, 2000*ms))
	}
	w.queue("gone", at(5*ms, 10*ms))
	c.Assert(<-w.got, qt.Equals, "gone: no turn before the deadline")
	turn := "first"
	for _, want := range []string{"a", "b", "late2", "c", "d", "late1"} {
		w.finish(turn)
		turn = <-w.got
		c.Assert(turn, qt.Equals, want)
	}
}

// TestRank answers two kinds in one queue: the lower rank goes first.
func TestRank(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: time.Hour}
	w := newWaiter(sequencer.Settings{}, clock)
	ticket := func(rank int) sequencer.Ticket {
		return sequencer.Ticket{Rank: rank, OnTime: clock.At + 150*ms, Deadline: clock.At + 2000*ms}
	}
	w.queue("first", ticket(0))
	<-w.got
	w.queue("low", ticket(2))
	w.queue("high", ticket(1))
	w.finish("first")
	c.Assert(<-w.got, qt.Equals, "high")
}

// TestHopelessAtOnce answers a burst that is longer than the deadline: those at
// its end are refused as they come, not when their time is over.
func TestHopelessAtOnce(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: time.Hour}
	w := newWaiter(sequencer.Settings{Pace: 100 * ms}, clock)
	refused := 0
	for range 30 {
		_, err := w.u.Wait(func() context.Context {
			ctx, cancel := context.WithTimeout(context.Background(), ms)
			t.Cleanup(cancel)
			return ctx
		}(), "other", sequencer.Ticket{OnTime: clock.At + 150*ms, Deadline: clock.At + 50*ms})
		c.Assert(err, qt.ErrorIs, sequencer.ErrHopeless)
		refused++
	}
	c.Assert(refused, qt.Equals, 30)
	c.Assert(w.u.Waiting("other"), qt.Equals, 0)
}

// TestLeave answers callers that leave while they wait: their places are free
// at once.
func TestLeave(t *testing.T) {
	c := qt.New(t)
	clock := &trial.Clock{At: time.Hour}
	w := newWaiter(sequencer.Settings{}, clock)
	ticket := sequencer.Ticket{OnTime: clock.At + 150*ms, Deadline: clock.At + 2000*ms}
	w.queue("first", ticket)
	<-w.got
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error)
	go func() {
		_, err := w.u.Wait(ctx, "e", ticket)
		left <- err
	}()
	for w.u.Waiting("e") == 0 {
		time.Sleep(ms)
	}
	cancel()
	c.Assert(<-left, qt.ErrorIs, context.Canceled)
	c.Assert(w.u.Waiting("e"), qt.Equals, 0)
	w.queue("second", ticket)
	w.finish("first")
	c.Assert(<-w.got, qt.Equals, "second")
	c.Assert(w.u.Expect("e") > w.u.Expect("idle"), qt.IsTrue)
}
