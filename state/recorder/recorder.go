package recorder

import (
	"bufio"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"radishspoke"
)

// Recorder counts requests. Make it with New.
type Recorder struct {
	// Registry holds every metric. A name may end in labels, as in
	// requests_total{team="a"}.
	Registry metrics.Registry
}

// New returns a Recorder with an empty registry.
func New() *Recorder { return &Recorder{Registry: metrics.NewRegistry()} }

// Request notes one request's end.
func (r *Recorder) Request(team, route string, outcome radishspoke.Outcome, status int, took time.Duration) {
	labels := fmt.Sprintf("{team=%q,route=%q}", team, route)
	metrics.GetOrRegisterCounter(fmt.Sprintf("requests_total{team=%q,route=%q,outcome=%q,status=\"%d\"}", team, route, outcome, status), r.Registry).Inc(1)
	r.observe("request_seconds"+labels, took)
}

// FirstToken notes the time to the first token of an answer.
func (r *Recorder) FirstToken(team, route string, took time.Duration) {
	r.observe(fmt.Sprintf("first_token_seconds{team=%q,route=%q}", team, route), took)
}

// Tokens counts the tokens charged to a team and sent to it.
func (r *Recorder) Tokens(team string, n int) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("output_tokens_total{team=%q}", team), r.Registry).Inc(int64(n))
}

// Gauge shows the value that f returns when the metrics are read.
func (r *Recorder) Gauge(name string, f func() float64) {
	_ = r.Registry.Register(name, metrics.NewFunctionalGaugeFloat64(f))
}

func (r *Recorder) observe(name string, took time.Duration) {
	h := r.Registry.GetOrRegister(name, newHistogram)
	h.(metrics.Histogram).Update(took.Microseconds())
}

const (
	namePrefix = "radishspoke_"
	microsecs  = 1e6 // in a second
)

var quantiles = []float64{0.5, 0.95, 0.99}

// ServeHTTP shows every metric.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	lines := []string{}
	r.Registry.Each(func(name string, m any) { lines = append(lines, linesOf(name, m)...) })
	sort.Strings(lines)
	b := bufio.NewWriter(w)
	defer func() { _ = b.Flush() }()
	for _, l := range lines {
		_, _ = b.WriteString(namePrefix + l + "\n")
	}
}

func linesOf(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		base, labels := split(name)
		out := []string{fmt.Sprintf("%s_count%s %d", base, join(labels, ""), s.Count())}
		for i, v := range s.Percentiles(quantiles) {
			out = append(out, fmt.Sprintf("%s%s %g", base, join(labels, fmt.Sprintf("quantile=\"%g\"", quantiles[i])), v/microsecs))
		}
		return out
	}
	return nil
}

// split parts a name from its labels.
func split(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")
	return base, strings.TrimSuffix(labels, "}")
}

func join(labels, more string) string {
	switch {
	case labels == "" && more == "":
		return ""
	case labels == "":
		return "{" + more + "}"
	case more == "":
		return "{" + labels + "}"
	}
	return "{" + labels + "," + more + "}"
}
