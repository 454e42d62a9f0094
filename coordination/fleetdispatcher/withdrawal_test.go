package fleetdispatcher

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/platform"
)

// secret is that of the only key in these tests.
const secret = "rk-t"

// TestKeyWithdrawnBeforeSuccessorIsAsked guards against a stream that is cut because its key
// was withdrawn while the prompt was prefilled for the successor of its silent engine.
func TestKeyWithdrawnBeforeSuccessorIsAsked(t *testing.T) {
	const (
		moments = 80
		step    = 40 * time.Millisecond  // between two moments
		prefill = 600 * time.Millisecond // of the prompt
		pause   = 1900 * time.Millisecond
		first   = 350 * time.Millisecond // expected time of the first event
	)
	prefillSlowly := func(conn net.Conn, r *http.Request) {
		time.Sleep(prefill)
		prefillPrompt(conn, r)
	}
	pauseOnce := func(conn net.Conn, r *http.Request) {
		if in, err := platform.DecodeRequest(r.Header); err != nil || in.LastEvent != "" {
			goOn(conn, r)
			return
		}
		writeHead(conn, r)
		writeEvents(conn, 0, 2)
		time.Sleep(pause)
		writeEvents(conn, 3, lastEvent)
		writeEnd(conn)
	}
	cut, refused, whole := 0, 0, 0
	for seed := range uint64(2) {
		for i := range moments {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := &memoryNetwork{targets: map[string]answerFunc{"a:1": pauseOnce, "b:1": pauseOnce, "prefill:1": prefillSlowly}}
				d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
				learnFirstEvent(d, first)
				table := newChangingTable(d.Configurations.Configuration().Table)
				table.requireKeys([]radishspoke.Key{newKey(secret, "t")}, radishspoke.TeamRule{Name: "t"})
				d.Configurations, d.KeyTrust, d.RateLimiter, d.Usage = table, alwaysTrusted{d.Clock}, noLimits{}, noUsage{}
				withdrawal := time.AfterFunc(time.Duration(i)*step, func() { table.setKeys(nil) })
				defer withdrawal.Stop()
				w, aborted := serveRequest(d, n, newKeyRequest(c, longPrompt))
				switch {
				case w.Code == http.StatusUnauthorized:
					refused++
					for _, target := range n.requests() {
						c.Check(target, qt.Equals, "prefill:1", qt.Commentf("refused, but sent to %v", n.requests()))
					}
				case aborted:
					cut++
					t.Logf("cut: seed %d, key withdrawn at %v, sent to %v, %q", seed, time.Duration(i)*step, n.requests(), w.Body)
				default:
					whole++
					c.Check(w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s; sent to %v", w.Body, n.requests()))
					c.Check(w.Body.String(), qt.Equals, wholeStream("x"))
				}
			})
		}
	}
	t.Logf("%d whole, %d refused, %d cut", whole, refused, cut)
	qt.Assert(t, cut, qt.Equals, 0)
	qt.Assert(t, whole > 0 && refused > 0, qt.IsTrue)
}

// TestStreamGoesOnAfterWithdrawal guards against a stream that is cut because its key was
// withdrawn after it had begun and before its engine stalled.
func TestStreamGoesOnAfterWithdrawal(t *testing.T) {
	for _, prompt := range []int{shortPrompt, longPrompt} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				n := &memoryNetwork{targets: map[string]answerFunc{"a:1": stall, "b:1": goOn, "prefill:1": prefillPrompt}}
				d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
				table := newChangingTable(d.Configurations.Configuration().Table)
				table.requireKeys([]radishspoke.Key{newKey(secret, "t")}, radishspoke.TeamRule{Name: "t"})
				d.Configurations, d.KeyTrust, d.RateLimiter, d.Usage = table, alwaysTrusted{d.Clock}, noLimits{}, noUsage{}
				time.AfterFunc(silence/2, func() { table.setKeys(nil) })
				w, aborted := serveRequest(d, n, newKeyRequest(c, prompt))
				c.Check(aborted, qt.IsFalse, qt.Commentf("%d tokens, sent to %v", prompt, n.requests()))
				c.Assert(w.Body.String(), qt.Equals, wholeStream("x"))
			}
		})
	}
}

// newKeyRequest returns a request with the key.
func newKeyRequest(c *qt.C, prompt int) *http.Request {
	r := httptest.NewRequestWithContext(c.Context(), http.MethodPost, "/", nil)
	r.Host = "h"
	r.Header = platform.EncodeRequest(platform.CallerHeader{
		ID: "r1", Secret: secret, Deadline: 15 * time.Second, Generation: &radishspoke.GenerationInfo{Model: "m", Prompt: prompt, Output: 10},
	})
	return r
}
