package fleetdispatcher

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
)

// TestRunElsewhereIsNotDenied guards against a refusal that promises that a request has not run,
// although the target that was asked in place of a silent one runs it.
func TestRunElsewhereIsNotDenied(t *testing.T) {
	for _, role := range []radishspoke.Role{"", radishspoke.DecodeRole} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			pauseAndRefuse := func(conn net.Conn, r *http.Request) {
				time.Sleep(silence)
				writeRefusal(conn, r)
			}
			runForEver := func(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) }
			for seed := range uint64(10) {
				n := &memoryNetwork{targets: map[string]answerFunc{"a:1": pauseAndRefuse, "b:1": runForEver}}
				d := newSilenceDispatcher(n, role, 9, seed)
				w, aborted := serveOnce(c, d, n, shortPrompt)
				c.Assert(aborted, qt.IsFalse)
				c.Assert(slices.Contains(n.requests(), "b:1"), qt.IsTrue)
				c.Check(w.Code, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%q, sent to %v", w.Body, n.requests()))
			}
		})
	}
}

// TestSlowHeadsDoNotRunOnAtOnce guards against two targets that work on one request for longer than
// 400 ms after one of them has begun to answer, because both take long to send their head.
func TestSlowHeadsDoNotRunOnAtOnce(t *testing.T) {
	for _, role := range []radishspoke.Role{"", radishspoke.DecodeRole} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				var mu sync.Mutex
				runs := map[net.Conn]period{}
				var head time.Time // first one of an answer
				end := func(conn net.Conn) {
					mu.Lock()
					defer mu.Unlock()
					if p, ok := runs[conn]; ok && p.end.IsZero() {
						runs[conn] = period{p.begin, time.Now()}
					}
				}
				slowHead := func(conn net.Conn, r *http.Request) {
					mu.Lock()
					runs[conn] = period{begin: time.Now()}
					mu.Unlock()
					time.Sleep(silence)
					mu.Lock()
					if runs[conn].end.IsZero() && head.IsZero() {
						head = time.Now()
					}
					mu.Unlock()
					goOn(conn, r)
					end(conn)
				}
				n := &memoryNetwork{targets: map[string]answerFunc{"a:1": slowHead, "b:1": slowHead}, closed: end}
				d := newSilenceDispatcher(n, role, 9, seed)
				w, aborted := serveOnce(c, d, n, shortPrompt)
				c.Assert(aborted, qt.IsFalse)
				c.Assert(w.Code, qt.Equals, http.StatusOK)
				var list []period
				for _, p := range runs {
					list = append(list, p)
				}
				slices.SortFunc(list, func(a, b period) int { return a.begin.Compare(b.begin) })
				for i, p := range list {
					for _, earlier := range list[:i] {
						both := earlier.overlap(period{begin: head, end: p.end})
						c.Check(both <= maxOverlap, qt.IsTrue, qt.Commentf("%v, sent to %v", both, n.requests()))
					}
				}
			}
		})
	}
}
