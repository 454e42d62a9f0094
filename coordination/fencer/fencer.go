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

// ErrNotReady says that the newest epoch is not known yet.
var ErrNotReady = errors.New("newest epoch is not known yet")

// Drainer keeps new requests from an engine and tells when none runs.
type Drainer interface {
	Drain(why executor.Reason, on bool)
	Idle() <-chan struct{}
}

const retryPause = 500 * time.Millisecond

// Fencer takes orders for one engine. Make it with New.
type Fencer struct {
	engine  radishspoke.Engine
	drainer Drainer
	log     *slog.Logger

	mu       sync.Mutex
	learnt   bool
	newest   int64 // epoch
	wanted   radishspoke.Order
	applied  radishspoke.Order
	changing bool
	wake     chan struct{} // ring of one
}

// New returns a Fencer that takes no orders until Learn is called.
func New(e radishspoke.Engine, d Drainer, log *slog.Logger) *Fencer {
	return &Fencer{engine: e, drainer: d, log: log, wake: make(chan struct{}, 1)}
}

// Learn notes the newest epoch as the table had it.
func (f *Fencer) Learn(epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learnt = true
	f.newest = max(f.newest, epoch)
}

// Submit takes an order. The error is ErrNotReady or radishspoke.ErrStaleOrder.
func (f *Fencer) Submit(o radishspoke.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.learnt:
		return ErrNotReady
	case o.Epoch < f.newest || o.Older(f.wanted):
		return radishspoke.ErrStaleOrder
	case !f.wanted.Older(o):
		return nil // the same again
	}
	f.newest, f.wanted = o.Epoch, o
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return nil
}

// Applied returns the last order that the engine is known to be as, and
// whether one is being carried out.
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
		for !f.settle(ctx) {
			if !ticker.Sleep(ctx, retryPause) {
				return
			}
		}
	}
}

// settle brings the engine to what is wanted. It tells whether it is so.
func (f *Fencer) settle(ctx context.Context) bool {
	f.mu.Lock()
	o := f.wanted
	f.mu.Unlock()
	state, err := f.engine.State(ctx)
	if err != nil || state.Changing {
		return false
	}
	if !as(state, o) && !f.change(ctx, o) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = o
	return !o.Older(f.wanted)
}

// change drains the engine and orders it.
func (f *Fencer) change(ctx context.Context, o radishspoke.Order) bool {
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
	old := o.Older(f.wanted)
	f.mu.Unlock()
	if old {
		return false // a newer order has come meanwhile
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

// as tells whether an engine is as an order wants it.
func as(s radishspoke.EngineState, o radishspoke.Order) bool {
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
