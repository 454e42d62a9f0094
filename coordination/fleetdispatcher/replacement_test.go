package fleetdispatcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
	"radishspoke/coordination/quarantiner"
	"radishspoke/coordination/relayer"
	"radishspoke/platform"
	"radishspoke/transport/httpclient"
)

// setAttempts sets the maximum number of attempts of all routes.
func setAttempts(d *Dispatcher, n int) {
	rules := d.Configurations.Configuration().Table.Rules
	for i := range rules {
		rules[i].Attempts = n
	}
}

// resumes reports whether a request goes on with a stream.
func resumes(r *http.Request) bool {
	in, err := platform.DecodeRequest(r.Header)
	if err != nil {
		panic(err)
	}
	return in.LastEvent != ""
}

// hang never answers.
func hang(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) }

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

// TestTwoSilentTargets guards against requests that wait for the second of two silent targets
// although a third one answers.
func TestTwoSilentTargets(t *testing.T) {
	stallOrHang := func(conn net.Conn, r *http.Request) {
		if resumes(r) {
			hang(conn, r)
			return
		}
		stall(conn, r)
	}
	for _, k := range []struct {
		name   string
		role   radishspoke.Role
		silent answerFunc
	}{
		{"plain", "", hang},
		{"before the head", radishspoke.DecodeRole, hang},
		{"between events", radishspoke.DecodeRole, stallOrHang},
	} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				for seed := range uint64(10) {
					n := &memoryNetwork{targets: map[string]answerFunc{"a:1": k.silent, "b:1": k.silent, "c:1": goOn}}
					d := newSilenceDispatcher(n, k.role, 9, seed)
					setAttempts(d, 3)
					learnFirstEvent(d, 400*time.Millisecond)
					began := time.Now()
					w, aborted := serveOnce(c, d, n, shortPrompt)
					c.Check(aborted, qt.IsFalse, qt.Commentf("sent to %v", n.requests()))
					c.Assert(w.Body.String(), qt.Equals, wholeStream("x"), qt.Commentf("sent to %v", n.requests()))
					c.Assert(w.longest < minPatience && w.last.Sub(began) < 2*minPatience, qt.IsTrue)
				}
			})
		})
	}
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
					answer := func(conn net.Conn, r *http.Request) {
						if len(n.requests()) == 1 {
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
				table.requireKeys([]radishspoke.Key{newKey(secret, "t")}, radishspoke.TeamRule{Name: "t"})
				usage := &countedUsage{}
				d.Configurations, d.KeyTrust, d.RateLimiter, d.Usage = table, alwaysTrusted{d.Clock}, noLimits{}, usage
				_, aborted := serveRequest(d, n, newKeyRequest(c, shortPrompt))
				c.Check(aborted, qt.IsFalse)
				c.Assert(usage.begun, qt.Equals, 1, qt.Commentf("the other target %s; sent to %v", name, n.requests()))
			}
		})
	}
}

// rejectingRelay is a sidecar that accepts no order. It is not used for the first prompt.
type rejectingRelay struct {
	stubRelay
	asked int
}

// Worthwhile implements RelayClient.
func (r *rejectingRelay) Worthwhile(string, int) bool {
	r.asked++
	return r.asked > 1
}

// Do implements RelayClient.
func (r *rejectingRelay) Do(context.Context, string, *relayer.Order, relayer.Progress) (*httpclient.Response, relayer.Stats, error) {
	return nil, relayer.Stats{}, relayer.ErrNotAccepted
}

// TestSearchGoesDirect guards against a stalled stream that is not resumed because a sidecar
// accepts no order.
func TestSearchGoesDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(10) {
			n := &memoryNetwork{targets: map[string]answerFunc{"a:1": stall, "b:1": goOn, "prefill:1": prefillPrompt}}
			d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
			d.RelayClient, d.Answers = &rejectingRelay{}, noAnswers{}
			w, aborted := serveOnce(c, d, n, longPrompt)
			c.Check(aborted, qt.IsFalse, qt.Commentf("sent to %v", n.requests()))
			c.Assert(w.Body.String(), qt.Equals, wholeStream("x"), qt.Commentf("sent to %v", n.requests()))
		}
	})
}

// TestStreamReturnsToSilentTarget guards against a stream that ends because the target that
// took the place of a silent one breaks off, while no other is left.
func TestStreamReturnsToSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(10) {
			attempts := 2 + int(seed%2)
			var resumed atomic.Int32
			answer := func(conn net.Conn, r *http.Request) {
				if !resumes(r) {
					pauseBetweenEvents(conn, r)
					return
				}
				if resumed.Add(1) > 1 {
					goOn(conn, r)
					return
				}
				writeHead(conn, r)
				writeEvents(conn, 3, 3)
				_ = conn.Close()
			}
			n := &memoryNetwork{targets: map[string]answerFunc{"a:1": answer, "b:1": answer}}
			d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
			setAttempts(d, attempts)
			learnFirstEvent(d, 500*time.Millisecond)
			w, aborted := serveOnce(c, d, n, shortPrompt)
			c.Check(aborted, qt.IsFalse, qt.Commentf("%d attempts; sent to %v", attempts, n.requests()))
			c.Assert(w.Body.String(), qt.Equals, wholeStream("x"), qt.Commentf("%d attempts; sent to %v", attempts, n.requests()))
		}
	})
}

// TestStreamGoesOnAfterAbandonedSearch guards against a stream that ends when its target breaks
// off, because another one had been asked in vain while the target was silent before.
func TestStreamGoesOnAfterAbandonedSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(10) {
			answer := func(conn net.Conn, r *http.Request) {
				if resumes(r) {
					time.Sleep(300 * time.Millisecond)
					goOn(conn, r)
					return
				}
				writeHead(conn, r)
				writeEvents(conn, 0, 2)
				time.Sleep(silence)
				writeEvents(conn, 3, 3)
				time.Sleep(50 * time.Millisecond)
				_ = conn.Close()
			}
			n := &memoryNetwork{targets: map[string]answerFunc{"a:1": answer, "b:1": answer}}
			d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
			learnFirstEvent(d, 400*time.Millisecond)
			w, aborted := serveOnce(c, d, n, shortPrompt)
			c.Check(aborted, qt.IsFalse, qt.Commentf("sent to %v", n.requests()))
			c.Assert(w.Body.String(), qt.Equals, wholeStream("x"), qt.Commentf("sent to %v", n.requests()))
		}
	})
}

// brokenTargets is a quarantine that records which targets have broken requests off.
type brokenTargets struct {
	Quarantine
	mu  sync.Mutex
	ids []string
}

// Broken implements Quarantine.
func (q *brokenTargets) Broken(target radishspoke.Instance, s quarantiner.Subject, sent time.Duration) {
	q.mu.Lock()
	q.ids = append(q.ids, target.ID)
	q.mu.Unlock()
	q.Quarantine.Broken(target, s, sent)
}

// Crashed implements Quarantine.
func (q *brokenTargets) Crashed(radishspoke.Instance) {}

// TestBreakDuringSearchIsRecorded guards against targets that crash on a request unnoticed,
// because another target was being asked in their place.
func TestBreakDuringSearchIsRecorded(t *testing.T) {
	for _, role := range []radishspoke.Role{"", radishspoke.DecodeRole} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				n := &memoryNetwork{}
				answer := func(conn net.Conn, r *http.Request) {
					if len(n.requests()) == 1 {
						time.Sleep(500 * time.Millisecond)
						_ = conn.Close()
						return
					}
					time.Sleep(silence)
					goOn(conn, r)
				}
				n.targets = map[string]answerFunc{"a:1": answer, "b:1": answer}
				d := newSilenceDispatcher(n, role, 9, seed)
				broken := &brokenTargets{Quarantine: d.Quarantine}
				d.Quarantine = broken
				w, aborted := serveOnce(c, d, n, shortPrompt)
				c.Check(aborted, qt.IsFalse)
				c.Check(w.Body.String(), qt.Equals, wholeStream("x"))
				c.Assert(broken.ids, qt.DeepEquals, n.requests()[:1], qt.Commentf("role %q", role))
			}
		})
	}
}

// TestBreaksOfSearchesAreCounted guards against a prompt that is sent to engine after engine
// although each one breaks it off.
func TestBreaksOfSearchesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(10) {
			var prefills atomic.Int32
			once := func(conn net.Conn, r *http.Request) {
				if prefills.Add(1) == 1 {
					prefillPrompt(conn, r)
					return
				}
				_ = conn.Close()
			}
			n := &memoryNetwork{targets: map[string]answerFunc{"a:1": stall, "b:1": goOn}}
			for _, address := range []string{"prefill:1", "prefill:2", "prefill:3", "prefill:4", "prefill:5", "prefill:6"} {
				n.targets[address] = once
			}
			d := newSilenceDispatcher(n, radishspoke.DecodeRole, 30, seed)
			d.Quarantine = &brokenTargets{Quarantine: d.Quarantine}
			learnFirstEvent(d, 350*time.Millisecond)
			serveOnce(c, d, n, longPrompt)
			c.Assert(prefills.Load() <= 1+maxBreaks, qt.IsTrue, qt.Commentf("%d prefills; sent to %v", prefills.Load(), n.requests()))
		}
	})
}

// TestCreditsAreReturnedOnce guards against retries that are returned to the budget by the
// search for another target and by the request that took them.
func TestCreditsAreReturnedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &memoryNetwork{targets: map[string]answerFunc{"a:1": hang, "b:1": writeRefusal}}
		d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, 1)
		table := d.Configurations.Configuration().Table
		j := &job{excluded: map[string]bool{"a:1": true}, deadline: d.Clock.Now() + 15*time.Second, startBy: d.Clock.Now() + 15*time.Second, rule: table.Rules[0], group: table.Groups["g"]}
		j.incoming.ID, j.method, j.target, j.host = "r1", http.MethodPost, "/", "h"
		j.incoming.Generation = &radishspoke.GenerationInfo{Model: "m", Prompt: shortPrompt, Output: 10}
		j.header = platform.EncodeRequest(platform.CallerHeader{ID: "r1"})
		c.Assert(d.takeRetries(j, 1), qt.IsTrue)
		_, timer := d.startAttempt(c.Context(), j, 0)
		time.Sleep(time.Second)
		timer.end(j)
		d.settle(j)
		d.Targets.CloseIdle("b:1")
		time.Sleep(time.Second)
		// The request for b:1 was sent.
		c.Assert(d.RetryBudgets.(*stubBudgets).taken, qt.Equals, len(n.requests()))
	})
}

// TestEarlierFailureIsKept guards against a failure of this process in place of the answer of a
// target, because a later one broke off within its answer.
func TestEarlierFailureIsKept(t *testing.T) {
	for _, role := range []radishspoke.Role{"", radishspoke.DecodeRole} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				n := &memoryNetwork{}
				answer := func(conn net.Conn, r *http.Request) {
					writeStatus(conn, r, platform.AnswerHeader{Stamped: true}, "500 Failed\r\nContent-Length: 4")
					if len(n.requests()) == 1 {
						_, _ = io.WriteString(conn, "mine")
						return
					}
					_ = conn.Close()
				}
				n.targets = map[string]answerFunc{"a:1": answer, "b:1": answer}
				w, aborted := serveOnce(c, newSilenceDispatcher(n, role, 9, seed), n, shortPrompt)
				c.Check(aborted, qt.IsFalse)
				c.Assert(w.Code, qt.Equals, http.StatusInternalServerError, qt.Commentf("role %q; sent to %v", role, n.requests()))
			}
		})
	}
}

// balancedRouter counts the requests at each target.
type balancedRouter struct {
	Router
	mu   sync.Mutex
	open map[string]int
}

// Begin implements Router.
func (b *balancedRouter) Begin(id string) {
	b.mu.Lock()
	b.open[id]++
	b.mu.Unlock()
	b.Router.Begin(id)
}

// End implements Router.
func (b *balancedRouter) End(id string, rep fleetrouter.Report) {
	b.mu.Lock()
	b.open[id]--
	b.mu.Unlock()
	b.Router.End(id, rep)
}

// TestRequestsAreEndedOnce guards against requests that the router counts at a target after
// their end, or ends twice.
func TestRequestsAreEndedOnce(t *testing.T) {
	for _, targets := range []map[string]answerFunc{
		{"a:1": pauseBetweenEvents, "b:1": goOn, "prefill:1": prefillPrompt},
		{"a:1": pauseBetweenEvents, "b:1": writeRefusal, "prefill:1": prefillPrompt},
		{"a:1": pauseBetweenEvents, "b:1": breakOff, "prefill:1": prefillPrompt},
		{"a:1": pauseBetweenEvents, "b:1": hang, "prefill:1": prefillPrompt},
		{"a:1": pauseBeforeHead, "b:1": pauseBeforeHead, "prefill:1": pausePrefill},
		{"a:1": hang, "b:1": hang, "prefill:1": hang},
	} {
		for _, prompt := range []int{shortPrompt, longPrompt} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				for seed := range uint64(10) {
					n := &memoryNetwork{targets: targets}
					d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
					learnFirstEvent(d, 400*time.Millisecond)
					router := &balancedRouter{Router: d.Router, open: map[string]int{}}
					d.Router = router
					serveOnce(c, d, n, prompt)
					addresses := n.requests()
					slices.Sort(addresses)
					for id, count := range router.open {
						c.Check(count, qt.Equals, 0, qt.Commentf("%s, sent to %v", id, addresses))
					}
				}
			})
		}
	}
}

// pausingRelay is a sidecar whose engine pauses before the prefill. It ends a prefill at the
// limit of the order.
type pausingRelay struct {
	stubRelay
	targets Targets
	pause   time.Duration
	once    bool // only the first order is relayed
	asked   atomic.Int32
}

// Worthwhile implements RelayClient.
func (r *pausingRelay) Worthwhile(string, int) bool { return r.asked.Add(1) == 1 || !r.once }

// Do implements RelayClient.
func (r *pausingRelay) Do(ctx context.Context, _ string, o *relayer.Order, p relayer.Progress) (*httpclient.Response, relayer.Stats, error) {
	p(relayer.Queued, 0)
	select {
	case <-ctx.Done():
		return nil, relayer.Stats{}, httpclient.ErrNoResponse
	case <-time.After(min(r.pause, o.PrefillTimeout)):
	}
	if o.PrefillTimeout < r.pause {
		return nil, relayer.Stats{PrefillTime: o.PrefillTimeout}, fmt.Errorf("%w: %w", relayer.ErrNotPrefilled, relayer.ErrNoResponse)
	}
	p(relayer.Forwarded, 0)
	a, err := r.targets.Do(ctx, o.DecodeAddress, o.Call(platform.TargetHeader{Instance: o.DecodeEngine}))
	return a, relayer.Stats{PrefillTime: r.pause}, err
}

// TestSilentRelayedPrefill guards against refusals of relayed requests whose prefill engine
// pauses, while no retry is left.
func TestSilentRelayedPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for left := range 2 {
			n := &memoryNetwork{targets: map[string]answerFunc{"a:1": goOn, "b:1": goOn, "prefill:1": prefillPrompt}}
			d := newSilenceDispatcher(n, radishspoke.DecodeRole, left, 1)
			d.RelayClient, d.Answers = &pausingRelay{targets: d.Targets, pause: silence}, noAnswers{}
			learnFirstEvent(d, 10*time.Millisecond)
			w, aborted := serveOnce(c, d, n, longPrompt)
			c.Check(aborted, qt.IsFalse)
			c.Assert(w.Code, qt.Equals, http.StatusOK, qt.Commentf("%d retries; %s; sent to %v", left, w.Body, n.requests()))
		}
	})
}

// TestHungRelayedPrefill guards against a request that waits for a hung prefill engine until its
// caller leaves, because the only decode engine, which was not asked yet, was left out.
func TestHungRelayedPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(10) {
			n := &memoryNetwork{targets: map[string]answerFunc{"a:1": goOn, "prefill:1": prefillPrompt, "prefill:2": prefillPrompt}}
			d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
			d.RelayClient, d.Answers = &pausingRelay{targets: d.Targets, pause: time.Minute, once: true}, noAnswers{}
			learnFirstEvent(d, 10*time.Millisecond)
			began := time.Now()
			w, aborted := serveOnce(c, d, n, longPrompt)
			c.Check(aborted, qt.IsFalse)
			c.Assert(w.Body.String(), qt.Equals, wholeStream("x"), qt.Commentf("sent to %v", n.requests()))
			c.Assert(w.last.Sub(began) < minPatience, qt.IsTrue)
		}
	})
}

// TestSilentSuccessorIsNotItsOwn guards against a search that asks the silent target itself,
// because that had taken the place of another one.
func TestSilentSuccessorIsNotItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(20) {
			n := &memoryNetwork{}
			answer := func(conn net.Conn, r *http.Request) {
				writeHead(conn, r)
				writeEvents(conn, len(n.requests())-1, len(n.requests())-1)
				hang(conn, r)
			}
			n.targets = map[string]answerFunc{"a:1": answer, "b:1": answer}
			d := newSilenceDispatcher(n, radishspoke.DecodeRole, 9, seed)
			setAttempts(d, 3)
			learnFirstEvent(d, 400*time.Millisecond)
			serveOnce(c, d, n, shortPrompt)
			c.Assert(n.requests(), qt.HasLen, 2)
		}
	})
}

// TestCallerLeavesDuringSearch guards against targets that go on with a request whose caller left
// while one of them was being asked in place of the other.
func TestCallerLeavesDuringSearch(t *testing.T) {
	for _, role := range []radishspoke.Role{"", radishspoke.DecodeRole} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				var closed atomic.Int32
				var last atomic.Int64 // nanoseconds
				answer := func(conn net.Conn, r *http.Request) {
					hang(conn, r)
					closed.Add(1)
					last.Store(time.Now().UnixNano())
				}
				n := &memoryNetwork{targets: map[string]answerFunc{"a:1": answer, "b:1": answer}}
				d := newSilenceDispatcher(n, role, 9, seed)
				r := newSilenceRequest(c, "r1")
				ctx, cancel := context.WithTimeout(c.Context(), time.Second)
				left := time.Now().Add(time.Second)
				_, aborted := serveRequest(d, n, r.WithContext(ctx))
				cancel()
				c.Check(aborted, qt.IsTrue)
				c.Assert(n.requests(), qt.HasLen, 2)
				c.Assert(closed.Load(), qt.Equals, int32(2))
				c.Assert(last.Load()-left.UnixNano() < int64(100*time.Millisecond), qt.IsTrue)
				c.Assert(d.RetryBudgets.(*stubBudgets).taken, qt.Equals, 1)
			}
		})
	}
}
