package fencer_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/executor"
	"radishspoke/coordination/fencer"
	"radishspoke/internal/fake"
)

// engine adapts a fake engine to the interface of its client.
type engine struct {
	radishspoke.Engine
	fake *fake.Engine
}

func (e engine) State(context.Context) (radishspoke.EngineState, error) { return e.fake.State(), nil }

func (e engine) Apply(ctx context.Context, o radishspoke.Order) error { return e.fake.Apply(ctx, o) }

// drainer is a Drainer whose engine is always idle.
type drainer struct{ idle chan struct{} }

func (d drainer) Drain(executor.DrainReason, bool) {}
func (d drainer) Idle() <-chan struct{}            { return d.idle }

func order(epoch, sequence int64, role radishspoke.Role) radishspoke.Order {
	return radishspoke.Order{Epoch: epoch, Sequence: sequence, Role: role, Model: "m"}
}

// TestFence submits orders of earlier and later planners for an engine that does
// not check fencing tokens itself. The fencer must reject outdated orders, as they
// would undo newer ones, and must apply each accepted order once.
func TestFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := fake.NewEngine(fake.EngineSettings{Model: "m", RoleChange: 3 * time.Second})
		defer e.Close()
		d := drainer{make(chan struct{})}
		close(d.idle)
		f := fencer.New(engine{fake: e}, d, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)

		c.Assert(f.Submit(order(1, 1, radishspoke.DecodeRole)), qt.ErrorIs, fencer.ErrNotReady)
		f.ObserveEpoch(5)
		c.Assert(f.Submit(order(4, 9, radishspoke.DecodeRole)), qt.ErrorIs, radishspoke.ErrStaleOrder)
		c.Assert(f.Submit(order(5, 1, radishspoke.DecodeRole)), qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(f.Submit(order(6, 1, radishspoke.PrefillRole)), qt.IsNil)
		c.Assert(f.Submit(order(5, 2, radishspoke.BothRole)), qt.ErrorIs, radishspoke.ErrStaleOrder)
		time.Sleep(10 * time.Second)
		c.Assert(e.State().Role, qt.Equals, radishspoke.PrefillRole)
		c.Assert(e.Counts(), qt.Equals, fake.EngineCounts{Orders: 2})
		c.Assert(f.Submit(order(6, 1, radishspoke.PrefillRole)), qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(e.Counts().Orders, qt.Equals, 2)

		// The restarted engine has lost its role. The same order from a new
		// planner restores it.
		e.Crash()
		e.Restart()
		c.Assert(f.Submit(order(7, 1, radishspoke.PrefillRole)), qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(e.State().Role, qt.Equals, radishspoke.PrefillRole)
	})
}
