package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/router"
)

// newTestRouter returns a router with n idle engines, spread evenly over models
// and three zones.
func newTestRouter(n, models int, s router.Settings) *router.Router {
	r := router.New(s, rand.New(rand.NewPCG(1, 2)))
	var list []radishspoke.Target
	for i := range n {
		list = append(list, radishspoke.Target{
			Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%3), Kind: radishspoke.EngineTarget,
			Model: fmt.Sprintf("m%d", i%models), Slots: 4, Sidecar: fmt.Sprintf("s%d", i),
		})
	}
	r.SetTargets(list)
	for _, t := range list {
		r.Observe(time.Second, 0, radishspoke.Load{Target: t.Name, Role: radishspoke.BothRole})
	}
	return r
}

func TestPick(t *testing.T) {
	const now = time.Second
	work := router.Work{Pool: "m0", PromptTokens: 1000, OutputTokens: 100}
	cases := []struct {
		name    string
		prepare func(r *router.Router)
		work    func(w router.Work) router.Work
		want    string // "" if no target is chosen
	}{
		{"nearest zone", func(*router.Router) {}, nil, "e0"},
		{"least loaded", func(r *router.Router) { r.Sent(now, "e0", work); r.Sent(now, "e0", work) }, nil, "e1"},
		{"own requests that are also in a report count once", func(r *router.Router) {
			r.Sent(now, "e0", work)
			r.Observe(now, 0, radishspoke.Load{Target: "e0", Running: 1, PrefillTokens: 1000})
			r.Began(now, "e0", work)
			r.Ended(now, "e0", false)
		}, nil, "e0"},
		{"own requests sent after an old report was made count", func(r *router.Router) {
			r.Sent(now, "e0", work)
			r.Observe(now, time.Second/2, radishspoke.Load{Target: "e0", Running: 1, PrefillTokens: 1000})
		}, nil, "e1"},
		{"others' requests count until the next report", func(r *router.Router) {
			r.Observe(now, 0, radishspoke.Load{Target: "e0", Running: 2, PrefillTokens: 9000})
		}, nil, "e1"},
		{"lost", func(r *router.Router) { r.MarkUnreachable("e0") }, nil, "e1"},
		{"draining", func(r *router.Router) { r.Observe(now, 0, radishspoke.Load{Target: "e0", Draining: true}) }, nil, "e1"},
		{"excluded", func(*router.Router) {}, func(w router.Work) router.Work { w.Exclude = []string{"e0"}; return w }, "e1"},
		{"ejected", func(r *router.Router) {
			for range 3 {
				r.Sent(now, "e0", router.Work{})
				r.Ended(now, "e0", true)
			}
		}, nil, "e1"},
		{"two ejected, the third one unreachable", func(r *router.Router) {
			for _, n := range []string{"e0", "e1"} {
				for range 3 {
					r.Sent(now, n, router.Work{})
					r.Ended(now, n, true)
				}
			}
			r.MarkUnreachable("e2")
		}, nil, "e0"},
		{"prefix held", func(r *router.Router) {
			r.Sent(now, "e2", router.Work{Prefix: []uint64{7}})
			r.Began(now, "e2", router.Work{})
			r.Ended(now, "e2", false)
			r.Observe(now, 0, radishspoke.Load{Target: "e2"})
		}, func(w router.Work) router.Work { w.PromptTokens, w.Prefix = 2500, []uint64{7}; return w }, "e2"},
		{"all full", func(r *router.Router) {
			for _, n := range []string{"e0", "e1", "e2"} {
				r.Observe(now, 0, radishspoke.Load{Target: n, Running: 5})
			}
		}, nil, ""},
		{"unknown pool", func(*router.Router) {}, func(w router.Work) router.Work { w.Pool = "x"; return w }, ""},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestRouter(3, 1, router.Settings{Zone: "z0"})
			k.prepare(r)
			w := work
			if k.work != nil {
				w = k.work(w)
			}
			got, ok := r.Pick(now, w)
			c.Assert(ok, qt.Equals, k.want != "")
			c.Assert(got.Target.Name, qt.Equals, k.want)
		})
	}
}

// BenchmarkPick measures one call of Pick with targets of 24 models.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{96, 384, 830} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r := newTestRouter(n, 24, router.Settings{Zone: "z0"})
			w := router.Work{Pool: "m3", PromptTokens: 6000, OutputTokens: 200, Prefix: []uint64{1, 2, 3}}
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(time.Second, w)
			}
		})
	}
}
