package fleetdispatcher

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
)

// TestPickedTargetsAreGivenBack guards against targets that stay reserved, and whose permits are
// lost, because a request to which they were assigned is not sent.
func TestPickedTargetsAreGivenBack(t *testing.T) {
	prefillSlowly := func(conn net.Conn, r *http.Request) {
		time.Sleep(silence / 4)
		prefillPrompt(conn, r)
	}
	for _, k := range []struct {
		name       string
		relayed    bool
		answer     answerFunc    // of the decode engine
		withdrawal time.Duration // time at which the key is withdrawn
	}{
		{"the key is withdrawn during the prefill", false, goOn, silence / 8},
		{"no other engine takes the request, relayed", true, writeRefusal, time.Minute},
	} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := &memoryNetwork{targets: map[string]answerFunc{"a:1": k.answer, "prefill:1": prefillSlowly, "prefill:2": prefillSlowly}}
				d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, 1)
				u := &useCounter{targets: map[string]*uses{}}
				d.Router, d.Answers = countingRouter{d.Router.(*fleetrouter.Router), u}, noAnswers{}
				if k.relayed {
					d.RelayClient = sidecars{fleet: newSoundFleet(nil, 1), targets: d.Targets}
				}
				table := newChangingTable(d.Configurations.Configuration().Table)
				table.requireKeys([]radishspoke.Key{newKey(secret, "t")}, radishspoke.TeamRule{Name: "t"})
				d.Configurations, d.KeyTrust, d.RateLimiter, d.Usage = table, alwaysTrusted{d.Clock}, noLimits{}, noUsage{}
				withdrawal := time.AfterFunc(k.withdrawal, func() { table.setKeys(nil) })
				defer withdrawal.Stop()
				w, aborted := serveRequest(d, n, newKeyRequest(c, longPrompt))
				c.Check(aborted, qt.IsFalse)
				c.Check(w.Code, qt.Not(qt.Equals), http.StatusOK)
				c.Check(u.leaks(), qt.Equals, "", qt.Commentf("%s; sent to %v", w.Body, n.requests()))
			})
		})
	}
}
