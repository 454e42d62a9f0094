package fleetdispatcher

import (
	"context"
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

// setKeys puts a version in force with other keys.
func (t *changingTable) setKeys(list []radishspoke.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.current.Table
	next.Version++
	t.current = &Configuration{Table: &next, Keys: newKeys(list)}
}

// setRules puts a version in force in which change has been applied to each route.
func (t *changingTable) setRules(change func(*radishspoke.PathRule)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.current.Table
	next.Version++
	next.Rules = append([]radishspoke.PathRule(nil), next.Rules...)
	for i := range next.Rules {
		change(&next.Rules[i])
	}
	t.current = &Configuration{Table: &next, Keys: t.current.Keys}
}

// requireKeys puts a version in force by which requests need a key of a team. It returns the
// secret of the key, which is the only one.
func (t *changingTable) requireKeys(team radishspoke.TeamRule) string {
	secret := "rk-" + team.Name
	t.setRules(func(r *radishspoke.PathRule) { r.Open = false })
	t.mu.Lock()
	next := *t.current.Table
	next.KeysRequired, next.Teams = true, append([]radishspoke.TeamRule{team}, next.Teams...)
	t.current = &Configuration{Table: &next, Keys: t.current.Keys}
	t.mu.Unlock()
	t.setKeys([]radishspoke.Key{{Hash: authenticator.Hash(secret), Team: team.Name}})
	return secret
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
