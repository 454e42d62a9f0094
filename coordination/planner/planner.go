package planner

import "radishspoke"

// Engine is the wanted and the present state of one engine.
type Engine struct {
	Target radishspoke.Target // state in the inventory
	Load   radishspoke.Load   // state in the last report of the engine
	Usable bool               // whether the engine is reachable and serves requests
}

// Change is an order for one target.
type Change struct {
	Target radishspoke.Target
	Order  radishspoke.Order
}

// maxChangingShare is the share of the engines of a model that may be out of
// service at the same time. At least one engine may, whatever the share.
const maxChangingShare = 0.25

// Plan returns the orders to send now. Each order carries the given epoch, and
// the version of the inventory as its sequence number. Plan does no I/O and keeps
// no state.
func Plan(inventory *radishspoke.Inventory, version, epoch int64, engines []Engine) []Change {
	serving, size := map[string]int{}, map[string]int{}
	for _, e := range engines {
		size[e.Target.Model]++
		if e.Usable && e.Load.Model == e.Target.Model && !e.Load.Draining {
			serving[e.Target.Model]++
		}
	}
	var out []Change
	for _, e := range engines {
		m, ok := inventory.Model(e.Target.Model)
		// The state of an engine without a model in its report is unknown.
		if !ok || e.Load.Model == "" || upToDate(e, m) {
			continue
		}
		model := e.Target.Model
		if e.Load.Draining {
			out = append(out, newChange(e, m, version, epoch)) // repeats the order in progress
			continue
		}
		serves := e.Usable && e.Load.Model == model
		if serves && !mayStopServing(serving[model], size[model]) {
			continue
		}
		if serves {
			serving[model]--
		}
		out = append(out, newChange(e, m, version, epoch))
	}
	return out
}

// mayStopServing reports whether one of the engines that serve a model may stop
// serving in order to change. The argument serving is the number of engines that
// serve the model, and size the number of all its engines. The only engine of a
// model may stop, because there is no other way to change it.
func mayStopServing(serving, size int) bool {
	if size == 1 {
		return true
	}
	limit := max(1, int(float64(size)*maxChangingShare))
	return serving > 1 && size-serving < limit
}

// upToDate reports whether an engine already has the state in the inventory.
func upToDate(e Engine, m radishspoke.Model) bool {
	return e.Load.Role == e.Target.Role && e.Load.Model == m.Name && e.Load.Version == m.Version
}

func newChange(e Engine, m radishspoke.Model, version, epoch int64) Change {
	return Change{Target: e.Target, Order: radishspoke.Order{
		Epoch: epoch, Sequence: version, Role: e.Target.Role, Model: m.Name, Version: m.Version, Adapters: m.Adapters,
	}}
}
