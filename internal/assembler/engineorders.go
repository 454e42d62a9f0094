package assembler

import (
	"context"
	"fmt"
	"time"

	"radishspoke/coordination/planner"
	"radishspoke/protocol/wire"
	"radishspoke/transport/connector"
)

// The planner is the entry that holds plannerLease. It gives orders to engines.
const (
	plannerLease = "planner"
	planInterval = 2 * time.Second
)

// planEngines sends the orders that are due, if this entry is the planner. It
// checks before each order that this entry still holds the lease. A sidecar that
// has received an order of a newer planner refuses orders of this one.
func (e *Entry) planEngines(ctx context.Context) error {
	epoch, ok := e.elector.Holds(plannerLease)
	c := e.watcher.Current()
	if !ok || c == nil {
		return nil
	}
	for _, change := range planner.Plan(&c.Inventory, c.Version, epoch, e.dispatcher.Engines()) {
		if now, ok := e.elector.Holds(plannerLease); !ok || now != epoch {
			return nil
		}
		if err := e.sendOrder(ctx, change); err != nil && ctx.Err() == nil {
			e.log.Warn("order not sent", "target", change.Target.Name, "error", err)
		}
	}
	return nil
}

const orderTimeout = time.Second

func (e *Entry) sendOrder(ctx context.Context, change planner.Change) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o := change.Order
	r, err := connector.Call[wire.OrderReply](ctx, e.pool, change.Target.Sidecar, orderMethod, &wire.Order{
		Epoch: o.Epoch, Sequence: o.Sequence, Role: string(o.Role), Model: o.Model, Version: o.Version, Adapters: o.Adapters,
	})
	if err != nil {
		return err
	}
	if !r.Accepted {
		return fmt.Errorf("order to %s refused: %s", change.Target.Name, r.Reason)
	}
	return nil
}
