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

// TestWholeAnswers breaks something in the middle of a streamed answer. The
// caller must get every token once and in order.
func TestWholeAnswers(t *testing.T) {
	faults := []struct {
		name  string
		fault func(b *bed, target string)
	}{
		{"none", func(*bed, string) {}},
		{"connection reset", func(b *bed, t string) { b.network.Reset("entry-1", "sidecar-"+t) }},
		{"connection silent", func(b *bed, t string) { b.network.Silence("entry-1", "sidecar-"+t) }},
		{"one way cut to the entry", func(b *bed, t string) { b.network.Cut("sidecar-"+t, "entry-1") }},
		{"one way cut to the sidecar", func(b *bed, t string) { b.network.Cut("entry-1", "sidecar-"+t) }},
		{"sidecar killed", func(b *bed, t string) { b.killSidecar(t) }},
		{"engine crashed", func(b *bed, t string) { b.Engines[t].Crash() }},
		{"store down", func(b *bed, _ string) { b.Platform.SetFaults(outage) }},
		{"engine and store down", func(b *bed, t string) { b.Engines[t].Crash(); b.Platform.SetFaults(outage) }},
		{"sidecar killed and restarted", func(b *bed, t string) { b.killSidecar(t); b.restartSidecar(t) }},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			inBubble(t, nil, func(b *bed) { b.breakAnswer(f.fault) })
		})
	}
}

// breakAnswer asks for an answer and breaks something in the middle of it.
func (b *bed) breakAnswer(fault func(b *bed, target string)) {
	b.Helper()
	const prompt, most, middle = "Is the hall free on Friday?", 400, 100
	struck := false
	q := b.request(0, http.MethodPost, "/v1/chat/completions", "big", chatBody(prompt, most), nil)
	r := b.read(q, func(tokens int) {
		if tokens >= middle && !struck {
			struck = true
			fault(b, b.busyEngine())
		}
	})
	b.Assert(struck, qt.IsTrue)
	b.mustBeWhole(r, prompt, most)
}

// busyEngine returns the engine that runs the only request.
func (b *bed) busyEngine() string {
	for name, e := range b.Engines {
		if e.Load().Running > 0 {
			return name
		}
	}
	b.Fatal("no engine runs a request")
	return ""
}

// TestCrossedAnswers runs many answers at once while connections break. Each
// caller must get its own.
func TestCrossedAnswers(t *testing.T) {
	inBubble(t, nil, func(b *bed) {
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
			b.network.Silence("entry-2", "sidecar-e2")
		}
		group.Wait()
		for i, r := range replies {
			b.mustBeWhole(r, fmt.Sprintf("question %d", i), 60+i)
		}
	})
}

// TestCallerGoesAway checks that the engine stops working for a caller that
// has gone.
func TestCallerGoesAway(t *testing.T) {
	inBubble(t, nil, func(b *bed) {
		q := b.request(0, http.MethodPost, "/v1/chat/completions", "big", chatBody("a long answer", 1000), nil)
		a, err := b.client.Do(q)
		b.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		engine := b.busyEngine()
		_ = a.Body.Close()
		time.Sleep(time.Second)
		b.Assert(b.Engines[engine].Load().Running, qt.Equals, 0)
		all, waiting := b.Entries[0].dispatcher.Running()
		b.Assert(all+waiting, qt.Equals, 0)
	})
}

// TestPlannedStops stops a process in the middle of many answers. None may be
// cut.
func TestPlannedStops(t *testing.T) {
	stops := map[string]func(b *bed){
		"sidecar": func(b *bed) {
			b.Sidecars["e1"].Stop(context.Background())
			delete(b.Sidecars, "e1")
		},
		"entry": func(b *bed) {
			b.Entries[0].Stop(context.Background())
			b.Entries = b.Entries[1:]
		},
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(b *bed) {
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
					b.mustBeWhole(r, fmt.Sprintf("question %d", i), 500)
				}
			})
		})
	}
}
