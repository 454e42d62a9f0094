package fleetdispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/coordination/authenticator"
)

// changingTable is a configuration that is replaced by newer versions.
type changingTable struct {
	mu      sync.Mutex
	current *Configuration
}

// newChangingTable returns a changingTable with the given version in force. No key is known.
func newChangingTable(table *radishspoke.RoutingTable) *changingTable {
	return &changingTable{current: &Configuration{Table: table, Keys: newKeys(nil)}}
}

func newKeys(list []radishspoke.Key) *authenticator.Authenticator {
	a := authenticator.New(func() bool { return true })
	a.Configure(list)
	return a
}

// Configuration implements Configurations.
func (t *changingTable) Configuration() *Configuration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// update puts a version in force to which change has been applied. If keys is not nil, it
// replaces the keys.
func (t *changingTable) update(change func(*radishspoke.RoutingTable), keys Keys) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.current.Table
	next.Version++
	next.Rules, next.Teams, next.Groups = slices.Clone(next.Rules), slices.Clone(next.Teams), maps.Clone(next.Groups)
	change(&next)
	if keys == nil {
		keys = t.current.Keys
	}
	t.current = &Configuration{Table: &next, Keys: keys}
}

// setKeys puts a version in force with other keys.
func (t *changingTable) setKeys(list []radishspoke.Key) {
	t.update(func(*radishspoke.RoutingTable) {}, newKeys(list))
}

// setRules puts a version in force in which change has been applied to each route.
func (t *changingTable) setRules(change func(*radishspoke.PathRule)) {
	t.update(func(next *radishspoke.RoutingTable) {
		for i := range next.Rules {
			change(&next.Rules[i])
		}
	}, nil)
}

// requireKeys puts a version in force by which requests need one of the keys, which belong to
// the given teams.
func (t *changingTable) requireKeys(keys []radishspoke.Key, teams ...radishspoke.TeamRule) {
	t.update(func(next *radishspoke.RoutingTable) {
		for i := range next.Rules {
			next.Rules[i].Open = false
		}
		next.KeysRequired, next.Teams = true, teams
	}, newKeys(keys))
}

// newKey returns a key of a team.
func newKey(secret, team string) radishspoke.Key {
	return radishspoke.Key{Hash: authenticator.Hash(secret), Team: team}
}

// noLimits admits all requests of all teams.
type noLimits struct{}

// Admit implements RateLimiter.
func (noLimits) Admit(radishspoke.TeamRule, float64) (time.Duration, bool) { return 0, true }

// Wait implements RateLimiter.
func (noLimits) Wait(context.Context, radishspoke.TeamRule, float64, time.Duration) (time.Duration, bool) {
	return 0, true
}

// Refund implements RateLimiter.
func (noLimits) Refund(radishspoke.TeamRule, float64) {}

// noUsage counts nothing.
type noUsage struct{}

// Begun implements Usage.
func (noUsage) Begun(string) {}

// alwaysTrusted is a configuration that is current at any time.
type alwaysTrusted struct{ clock radishspoke.Clock }

// TrustedUntil implements KeyTrust.
func (t alwaysTrusted) TrustedUntil() time.Duration { return t.clock.Now() + time.Hour }
