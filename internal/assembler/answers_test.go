package assembler

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWholeAnswers injects a fault in the middle of a streamed response. The
// caller must receive every token once and in order.
func TestWholeAnswers(t *testing.T) {
	faults := []struct {
		name  string
		fault func(b *testbed, target string)
	}{
		{"none", func(*testbed, string) {}},
		{"connection reset", func(b *testbed, t string) { b.network.Reset("entry-1", "sidecar-"+t) }},
		{"connection silent", func(b *testbed, t string) { b.network.Blackhole("entry-1", "sidecar-"+t) }},
		{"one way cut to the entry", func(b *testbed, t string) { b.network.Cut("sidecar-"+t, "entry-1") }},
		{"one way cut to the sidecar", func(b *testbed, t string) { b.network.Cut("entry-1", "sidecar-"+t) }},
		{"sidecar killed", func(b *testbed, t string) { b.killSidecar(t) }},
		{"engine crashed", func(b *testbed, t string) { b.Engines[t].Crash() }},
		{"store down", func(b *testbed, _ string) { b.Platform.SetFaults(outage) }},
		{"engine and store down", func(b *testbed, t string) { b.Engines[t].Crash(); b.Platform.SetFaults(outage) }},
		{"sidecar killed and restarted", func(b *testbed, t string) { b.killSidecar(t); b.restartSidecar(t) }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			inBubble(t, nil, func(b *testbed) { b.checkFaultMidStream(f.fault) })
		})
	}
}

// checkFaultMidStream requests a completion, injects a fault in the middle of the
// stream, and checks that the completion is complete.
func (b *testbed) checkFaultMidStream(fault func(b *testbed, target string)) {
	b.Helper()
	const prompt, maxTokens, faultAfter = "Is the hall free on Friday?", 400, 100
	injected := false
	q := b.request(0, http.MethodPost, "/v1/chat/completions", "big", chatBody(prompt, maxTokens), nil)
	r := b.read(q, func(tokens int) {
		if tokens >= faultAfter && !injected {
			injected = true
			fault(b, b.busyEngine())
		}
	})
	b.Assert(injected, qt.IsTrue)
	b.assertComplete(r, prompt, maxTokens)
}

// busyEngine returns the name of the engine that runs the only request.
func (b *testbed) busyEngine() string {
	for name, e := range b.Engines {
		if e.Load().Running > 0 {
			return name
		}
	}
	b.Fatal("no engine runs a request")
	return ""
}

// TestConcurrentAnswers sends many requests concurrently while connections break.
// Each caller must receive the response to its own request.
func TestConcurrentAnswers(t *testing.T) {
	inBubble(t, nil, func(b *testbed) {
		var group sync.WaitGroup
		replies := make([]reply, 40)
		for i := range replies {
			group.Add(1)
			go func() {
				defer group.Done()
				replies[i] = b.chat(i%2, "big", fmt.Sprintf("question %d", i), 60+i)
			}()
		}
		for range 5 {
			time.Sleep(300 * time.Millisecond)
			b.network.Reset("entry-1", "sidecar-e1")
			b.network.Blackhole("entry-2", "sidecar-e2")
		}
		group.Wait()
		for i, r := range replies {
			b.assertComplete(r, fmt.Sprintf("question %d", i), 60+i)
		}
	})
}

// TestCallerDisconnects checks that a request ends at the entry and the engine
// when its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	inBubble(t, nil, func(b *testbed) {
		q := b.request(0, http.MethodPost, "/v1/chat/completions", "big", chatBody("a long answer", 1000), nil)
		resp, err := b.client.Do(q)
		b.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		engine := b.busyEngine()
		_ = resp.Body.Close()
		time.Sleep(time.Second)
		b.Assert(b.Engines[engine].Load().Running, qt.Equals, 0)
		running, waiting := b.Entries[0].dispatcher.Running()
		b.Assert(running+waiting, qt.Equals, 0)
	})
}

// TestPlannedStops stops a process while many responses are in progress. All of
// them must be completed.
func TestPlannedStops(t *testing.T) {
	stops := map[string]func(b *testbed){
		"sidecar": func(b *testbed) {
			b.Sidecars["e1"].Stop(context.Background())
			delete(b.Sidecars, "e1")
		},
		"entry": func(b *testbed) {
			b.Entries[0].Stop(context.Background())
			b.Entries = b.Entries[1:]
		},
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(b *testbed) {
				var group sync.WaitGroup
				replies := make([]reply, 20)
				for i := range replies {
					group.Add(1)
					go func() {
						defer group.Done()
						replies[i] = b.chat(i%2, "big", fmt.Sprintf("question %d", i), 500)
					}()
				}
				time.Sleep(time.Second)
				stop(b)
				group.Wait()
				for i, r := range replies {
					b.assertComplete(r, fmt.Sprintf("question %d", i), 500)
				}
			})
		})
	}
}
