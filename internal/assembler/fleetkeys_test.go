package assembler

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/authenticator"
)

// TestRoutesAndKeysOfOneVersion guards against CONFIG of issue 41: requests are decided by the
// routes of one version and the keys of another one, while versions arrive by several ways.
func TestRoutesAndKeysOfOneVersion(t *testing.T) {
	c := qt.New(t)
	e, err := NewFleetEntry(fleetSettings(c, "127.0.0.1:1"), fleetEnv(), 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = e.udpConn.Close() })
	secret := func(version int64) string { return fmt.Sprint("secret-", version) }
	const versions, ways = 200, 3
	var arriving, deciding sync.WaitGroup
	var done atomic.Bool
	for way := range ways {
		arriving.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(way)))
			for v := int64(1); v <= versions; v++ {
				if random.IntN(2) == 0 && v < versions {
					continue
				}
				e.watcher.UpdateConfiguration(&radishspoke.RoutingTable{
					Version: v, Teams: []radishspoke.TeamRule{{Name: "t", Keys: []string{authenticator.Hash(secret(v))}}},
				}, v, e.env.Clock.Now())
			}
		})
	}
	var mixed, back atomic.Int64
	for range ways {
		deciding.Go(func() {
			last := int64(0)
			for !done.Load() {
				now := e.Configuration()
				if now == nil {
					continue
				}
				if _, err := now.Keys.Check(secret(now.Table.Version)); err != nil {
					mixed.Add(1)
				}
				if now.Table.Version < last {
					back.Add(1)
				}
				last = now.Table.Version
			}
		})
	}
	arriving.Wait()
	done.Store(true)
	deciding.Wait()
	c.Assert(mixed.Load(), qt.Equals, int64(0))
	c.Assert(back.Load(), qt.Equals, int64(0))
	c.Assert(e.Configuration().Table.Version, qt.Equals, int64(versions))
	_, err = e.Configuration().Keys.Check(secret(versions))
	c.Assert(err, qt.IsNil)
}
