package fleetdispatcher

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
)

// refuseLate refuses a request after a pause.
func refuseLate(conn net.Conn, r *http.Request) {
	time.Sleep(silence)
	writeRefusal(conn, r)
}

// breakOff closes the connection soon.
func breakOff(conn net.Conn, _ *http.Request) {
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
}

// TestNotRunIsTrueAfterSearch guards against a failure that says that a request has not run,
// although a target that was asked in place of the silent one may have run it.
func TestNotRunIsTrueAfterSearch(t *testing.T) {
	for _, role := range []radishspoke.Role{"", radishspoke.DecodeRole} {
		for _, k := range []struct {
			name   string
			other  answerFunc
			status int
		}{
			{"breaks off", breakOff, http.StatusBadGateway},
			{"refuses it late too", refuseLate, http.StatusServiceUnavailable},
		} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				for seed := range uint64(10) {
					n := &memoryNetwork{}
					first := true
					answer := func(conn net.Conn, r *http.Request) {
						if first {
							first = false
							refuseLate(conn, r)
							return
						}
						k.other(conn, r)
					}
					n.targets = map[string]answerFunc{"a:1": answer, "b:1": answer}
					w, aborted := serveOnce(c, newSilenceDispatcher(n, role, 1, seed), n, shortPrompt)
					c.Check(aborted, qt.IsFalse)
					c.Assert(w.Code, qt.Equals, k.status, qt.Commentf("role %q, the other target %s; sent to %v", role, k.name, n.requests()))
				}
			})
		}
	}
}

// TestUsageIsCountedOnce guards against a request that is counted as begun at each of two
// targets.
func TestUsageIsCountedOnce(t *testing.T) {
	for name, other := range map[string]answerFunc{"is silent": pauseBeforeHead, "breaks off": breakOff, "answers": goOn} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				n := &memoryNetwork{targets: map[string]answerFunc{"a:1": pauseBeforeHead, "b:1": other}}
				d := newSilenceDispatcher(n, "", 9, seed)
				table := newChangingTable(d.Configurations.Configuration().Table)
				secret := table.requireKeys(radishspoke.TeamRule{Name: "t"})
				usage := &countedUsage{}
				d.Configurations, d.KeyTrust, d.RateLimiter, d.Usage = table, alwaysTrusted{d.Clock}, noLimits{}, usage
				_, aborted := serveRequest(d, n, newKeyRequest(c, secret, shortPrompt))
				c.Check(aborted, qt.IsFalse)
				c.Assert(usage.begun, qt.Equals, 1, qt.Commentf("the other target %s; sent to %v", name, n.requests()))
			}
		})
	}
}
