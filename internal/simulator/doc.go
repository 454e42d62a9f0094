// Package simulator runs seeded workloads through routing and queueing policies, on
// the same simulated engines, and measures the service that callers get from each.
//
// The simulation runs in simulated time. It uses the production router and
// scheduler with a step model of an engine. It models no processes and no
// connections, and the only fault is the failure of one engine.
package simulator
