package assembler

import (
	"context"
	"fmt"
	"time"

	"radishspoke/coordination/planner"
	"radishspoke/protocol/wire"
	"radishspoke/transport/connector"
)

// The planner is the entry that orders engines.
const (
	plannerLease = "planner"
	planInterval = 2 * time.Second
)

// plan gives the orders that are due, if this entry is the planner. Each is
// sent only while the lease still holds, and its sidecar refuses it once a newer
// planner has given one.
func (e *Entry) plan(ctx context.Context) error {
	epoch, ok := e.elector.Holds(plannerLease)
	c := e.watcher.Current()
	if !ok || c == nil {
		return nil
	}
	for _, k := range planner.Plan(&c.Inventory, c.Version, epoch, e.dispatcher.Engines()) {
		if now, ok := e.elector.Holds(plannerLease); !ok || now != epoch {
			return nil
		}
		if err := e.order(ctx, k); err != nil && ctx.Err() == nil {
			e.log.Warn("order not given", "target", k.Target.Name, "error", err)
		}
	}
	return nil
}

const orderTimeout = time.Second

func (e *Entry) order(ctx context.Context, k planner.Change) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o := k.Order
	r, err := connector.Call[wire.OrderReply](ctx, e.pool, k.Target.Sidecar, orderMethod, &wire.Order{
		Epoch: o.Epoch, Sequence: o.Sequence, Role: string(o.Role), Model: o.Model, Version: o.Version, Adapters: o.Adapters,
	})
	if err != nil {
		return err
	}
	if !r.Accepted {
		return fmt.Errorf("order to %s refused: %s", k.Target.Name, r.Reason)
	}
	return nil
}
