package planner

import (
	"radishspoke"
)

// Engine is one engine as it is now.
type Engine struct {
	Target radishspoke.Target // as the inventory wants it
	Load   radishspoke.Load   // as it is
	Usable bool               // reachable and serving
}

// Change is an order for one target.
type Change struct {
	Target radishspoke.Target
	Order  radishspoke.Order
}

// atOnce is the part of a model's engines that change at the same time, but
// for at least one.
const atOnce = 0.25

// Plan returns the orders to give now. Orders carry the epoch of their giver
// and the version of the inventory as sequence number. It is a pure core.
func Plan(v *radishspoke.Inventory, version, epoch int64, engines []Engine) []Change {
	serving, size := map[string]int{}, map[string]int{}
	for _, e := range engines {
		size[e.Target.Model]++
		if e.Usable && e.Load.Model == e.Target.Model && !e.Load.Draining {
			serving[e.Target.Model]++
		}
	}
	var out []Change
	for _, e := range engines {
		m, ok := v.Model(e.Target.Model)
		// Nothing is known yet of an engine without a model in its report.
		if !ok || e.Load.Model == "" || asWanted(e, m) {
			continue
		}
		pool := e.Target.Model
		if e.Load.Draining {
			out = append(out, change(e, m, version, epoch)) // under way; said again
			continue
		}
		serves := e.Usable && e.Load.Model == pool
		if serves && !mayLeave(serving[pool], size[pool]) {
			continue
		}
		if serves {
			serving[pool]--
		}
		out = append(out, change(e, m, version, epoch))
	}
	return out
}

// mayLeave tells whether one of the engines that serve a model may stop
// serving for a while. A model with one engine has no other way to change.
func mayLeave(serving, size int) bool {
	if size == 1 {
		return true
	}
	most := max(1, int(float64(size)*atOnce))
	return serving > 1 && size-serving < most
}

func asWanted(e Engine, m radishspoke.Model) bool {
	return e.Load.Role == e.Target.Role && e.Load.Model == m.Name && e.Load.Version == m.Version
}

func change(e Engine, m radishspoke.Model, version, epoch int64) Change {
	return Change{Target: e.Target, Order: radishspoke.Order{
		Epoch: epoch, Sequence: version, Role: e.Target.Role, Model: m.Name, Version: m.Version, Adapters: m.Adapters,
	}}
}
