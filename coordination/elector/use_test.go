package elector_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/elector"
)

// TestUnansweredCall guards against ONE of issue 63: a process releases its lease although a call
// that it made under it has no answer and may arrive after those of the next holder.
func TestUnansweredCall(t *testing.T) {
	for _, k := range []struct {
		answer  error
		atOnce  bool // the lease is released when it is not wanted any more
		stopped bool // the process ends at once
	}{
		{answer: nil, atOnce: true},
		{answer: radishspoke.ErrUnavailable, atOnce: true}, // refused, or not sent
		{answer: radishspoke.ErrUnanswered},
		{answer: fmt.Errorf("report: %w: %w", radishspoke.ErrUnavailable, radishspoke.ErrUnanswered)},
		{answer: radishspoke.ErrUnanswered, stopped: true},
	} {
		t.Run(fmt.Sprint(k.answer, ", stopped ", k.stopped), func(t *testing.T) {
			c := qt.New(t)
			g := newDrillRig(c)
			g.start("a")
			g.run(time.Second)
			g.start("b")
			g.run(time.Second)
			a := g.candidates["a"]
			epoch, ok := a.Holds(leaseName)
			c.Assert(ok, qt.IsTrue)
			err := a.Use(c.Context(), leaseName, epoch, func(context.Context) error { return k.answer })
			c.Assert(err, qt.Equals, k.answer)
			if k.stopped {
				g.stop("a")
			}
			a.stopped = true
			g.run(time.Second)
			c.Assert(g.holder() == "b", qt.Equals, k.atOnce)
			g.run(2500 * time.Millisecond)
			c.Assert(g.holder() == "b", qt.Equals, k.atOnce)
			g.run(takeoverTime)
			c.Assert(g.holder(), qt.Equals, "b")
		})
	}
}

// TestNoReleaseInUse checks that a lease is not released while a call is made under it, and that
// the call ends when the lease expires.
func TestNoReleaseInUse(t *testing.T) {
	c := qt.New(t)
	g := newDrillRig(c)
	g.start("a")
	g.run(time.Second)
	g.start("b")
	a := g.candidates["a"]
	epoch, _ := a.Holds(leaseName)
	begun, end, ended := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		ended <- a.Use(context.Background(), leaseName, epoch, func(ctx context.Context) error {
			deadline, ok := ctx.Deadline()
			if left := time.Until(deadline); !ok || left > 3*time.Second {
				return fmt.Errorf("call may last for %v", left)
			}
			close(begun)
			<-end
			return nil
		})
	}()
	<-begun
	a.stopped = true
	g.run(10 * time.Second)
	c.Assert(g.holder(), qt.Equals, "a")
	close(end)
	c.Assert(<-ended, qt.IsNil)
	g.run(time.Second)
	c.Assert(g.holder(), qt.Equals, "b")
	err := a.Use(c.Context(), leaseName, epoch, func(context.Context) error { panic("used") })
	c.Assert(err, qt.ErrorIs, elector.ErrNotHeld)
}
