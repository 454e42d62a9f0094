package fencer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/executor"
	"radishspoke/transport/ticker"
)

// ErrNotReady is returned by Fencer.Submit until the newest epoch is known.
var ErrNotReady = errors.New("newest epoch is not known yet")

// Drainer keeps new requests from an engine. Drain starts the drain for a reason
// if on is true, and ends it otherwise. A receive from the channel that Idle
// returns succeeds once no request runs.
type Drainer interface {
	Drain(reason executor.DrainReason, on bool)
	Idle() <-chan struct{}
}

const retryDelay = 500 * time.Millisecond // between attempts to carry out an order

// Fencer accepts orders for one engine and carries them out. Create one with
// New.
type Fencer struct {
	engine  radishspoke.Engine
	drainer Drainer
	log     *slog.Logger

	mu          sync.Mutex
	epochKnown  bool
	newestEpoch int64
	wanted      radishspoke.Order
	applied     radishspoke.Order
	changing    bool
	wake        chan struct{} // buffered, of size 1
}

// New returns a Fencer that accepts no orders until it is given the newest epoch.
func New(e radishspoke.Engine, d Drainer, log *slog.Logger) *Fencer {
	return &Fencer{engine: e, drainer: d, log: log, wake: make(chan struct{}, 1)}
}

// ObserveEpoch records the newest epoch as read from the table.
func (f *Fencer) ObserveEpoch(epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epochKnown = true
	f.newestEpoch = max(f.newestEpoch, epoch)
}

// Submit accepts an order, which Run then carries out. It returns ErrNotReady if
// the newest epoch is not known, and radishspoke.ErrStaleOrder if the order is
// older than that epoch or than the last accepted order. Submitting the last
// accepted order again has no effect.
func (f *Fencer) Submit(o radishspoke.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.epochKnown:
		return ErrNotReady
	case o.Epoch < f.newestEpoch || o.Older(f.wanted):
		return radishspoke.ErrStaleOrder
	case !f.wanted.Older(o):
		return nil // the last accepted order again
	}
	f.newestEpoch, f.wanted = o.Epoch, o
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return nil
}

// Applied returns the last order that the engine was found to match, and whether
// an order is being carried out.
func (f *Fencer) Applied() (o radishspoke.Order, changing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied, f.changing
}

// Run carries out orders until ctx ends.
func (f *Fencer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for !f.applyWanted(ctx) {
			if !ticker.Sleep(ctx, retryDelay) {
				return
			}
		}
	}
}

// applyWanted carries out the last accepted order. It returns whether the engine
// matches that order and no newer one has been accepted.
func (f *Fencer) applyWanted(ctx context.Context) bool {
	f.mu.Lock()
	o := f.wanted
	f.mu.Unlock()
	state, err := f.engine.State(ctx)
	if err != nil || state.Changing {
		return false
	}
	if !matches(state, o) && !f.drainAndApply(ctx, o) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = o
	return !o.Older(f.wanted)
}

// drainAndApply drains the engine and applies the order to it. It returns whether
// the order was applied.
func (f *Fencer) drainAndApply(ctx context.Context, o radishspoke.Order) bool {
	f.setChanging(true)
	defer f.setChanging(false)
	f.drainer.Drain(executor.Ordering, true)
	defer f.drainer.Drain(executor.Ordering, false)
	select {
	case <-f.drainer.Idle():
	case <-ctx.Done():
		return false
	}
	f.mu.Lock()
	superseded := o.Older(f.wanted)
	f.mu.Unlock()
	if superseded {
		return false
	}
	if err := f.engine.Apply(ctx, o); err != nil {
		f.log.Warn("order not carried out", "epoch", o.Epoch, "sequence", o.Sequence, "error", err)
		return false
	}
	f.log.Info("order carried out", "epoch", o.Epoch, "sequence", o.Sequence, "role", o.Role, "model", o.Model, "version", o.Version)
	return true
}

func (f *Fencer) setChanging(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changing = on
}

// matches returns whether the state of an engine is that of an order.
func matches(s radishspoke.EngineState, o radishspoke.Order) bool {
	if s.Role != o.Role || s.Model != o.Model || s.Version != o.Version || len(s.Adapters) != len(o.Adapters) {
		return false
	}
	for i, a := range s.Adapters {
		if o.Adapters[i] != a {
			return false
		}
	}
	return true
}
