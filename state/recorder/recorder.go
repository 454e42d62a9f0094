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

// Recorder records the metrics of a process. Use New to create one.
type Recorder struct {
	// Registry holds all metrics by name. A name may end in labels, as in
	// requests_total{team="a"}.
	Registry metrics.Registry
}

// New returns a Recorder with an empty registry.
func New() *Recorder { return &Recorder{Registry: metrics.NewRegistry()} }

// ObserveRequest records the outcome, status and duration of a finished
// request.
func (r *Recorder) ObserveRequest(team, route string, outcome radishspoke.Outcome, status int, d time.Duration) {
	labels := fmt.Sprintf("{team=%q,route=%q}", team, route)
	metrics.GetOrRegisterCounter(fmt.Sprintf("requests_total{team=%q,route=%q,outcome=%q,status=\"%d\"}", team, route, outcome, status), r.Registry).Inc(1)
	r.observe("request_seconds"+labels, d)
}

// ObserveFirstToken records the time to the first token of a response.
func (r *Recorder) ObserveFirstToken(team, route string, d time.Duration) {
	r.observe(fmt.Sprintf("first_token_seconds{team=%q,route=%q}", team, route), d)
}

// ObserveStream records the end of a stream of a target: how it was framed,
// whether it ended without an error, and whether it ended inside an event.
func (r *Recorder) ObserveStream(framing string, ended, partial bool) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("streams_total{framing=%q,ended=\"%t\",partial=\"%t\"}", framing, ended, partial), r.Registry).Inc(1)
}

// ObserveResumption counts a stream that an engine has resumed: whether the caller or
// this process asked for it, and whether the software version of the engine is the one
// that began the stream.
func (r *Recorder) ObserveResumption(byCaller bool, software string) {
	by := "entry"
	if byCaller {
		by = "caller"
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("streams_resumed_total{by=%q,software=%q}", by, software), r.Registry).Inc(1)
}

// ObserveGiveUp counts an attempt that was ended because its target was silent.
func (r *Recorder) ObserveGiveUp() {
	metrics.GetOrRegisterCounter("attempts_given_up_total", r.Registry).Inc(1)
}

// ObserveLeft counts a request whose caller has left, by what has noticed it, and records for how
// long the close had not been noticed. A negative time is left out.
func (r *Recorder) ObserveLeft(notice string, late time.Duration) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("callers_left_total{notice=%q}", notice), r.Registry).Inc(1)
	if late >= 0 {
		r.observe("caller_left_late_seconds", late)
	}
}

// ObserveAbandoned records the time from the moment at which it was noticed that a caller had left to
// the end of the work on its request.
func (r *Recorder) ObserveAbandoned(d time.Duration) { r.observe("abandoned_work_seconds", d) }

// ObserveCall counts a call that was about to be made for a request, by whether the caller had left.
func (r *Recorder) ObserveCall(left bool) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("calls_total{left=\"%t\"}", left), r.Registry).Inc(1)
}

// ObserveHold counts a hold that was "taken", "refused" or "dropped".
func (r *Recorder) ObserveHold(what string) {
	metrics.GetOrRegisterCounter("holds_"+what, r.Registry).Inc(1)
}

// ObserveBadSlowness counts a slowness, stated by a target, that makes no sense.
func (r *Recorder) ObserveBadSlowness() {
	metrics.GetOrRegisterCounter("slowness_ignored", r.Registry).Inc(1)
}

// AddTokens adds n to the number of output tokens that were sent to a team and
// charged to it.
func (r *Recorder) AddTokens(team string, n int) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("output_tokens_total{team=%q}", team), r.Registry).Inc(int64(n))
}

// Gauge registers a gauge with the given name. Its value is the result of f, which
// is called whenever the gauge is read. Gauge has no effect if the name is already
// registered.
func (r *Recorder) Gauge(name string, f func() float64) {
	_ = r.Registry.Register(name, metrics.NewFunctionalGaugeFloat64(f))
}

// observe adds a duration to the histogram with the given name.
func (r *Recorder) observe(name string, d time.Duration) {
	h := r.Registry.GetOrRegister(name, newHistogram)
	h.(metrics.Histogram).Update(d.Microseconds())
}

const (
	namePrefix            = "radishspoke_"
	microsecondsPerSecond = 1e6
)

// quantiles are the quantiles of each histogram that ServeHTTP writes.
var quantiles = []float64{0.5, 0.95, 0.99}

// ServeHTTP writes all metrics, one per line and sorted.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	lines := []string{}
	r.Registry.Each(func(name string, m any) { lines = append(lines, formatMetric(name, m)...) })
	sort.Strings(lines)
	b := bufio.NewWriter(w)
	defer func() { _ = b.Flush() }()
	for _, l := range lines {
		_, _ = b.WriteString(namePrefix + l + "\n")
	}
}

// formatMetric returns the lines of one metric, without namePrefix. Histograms of
// microseconds are shown in seconds.
func formatMetric(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		base, labels := splitLabels(name)
		out := []string{fmt.Sprintf("%s_count%s %d", base, joinLabels(labels, ""), s.Count())}
		for i, v := range s.Percentiles(quantiles) {
			out = append(out, fmt.Sprintf("%s%s %g", base, joinLabels(labels, fmt.Sprintf("quantile=\"%g\"", quantiles[i])), v/microsecondsPerSecond))
		}
		return out
	}
	return nil
}

// splitLabels splits a metric's name into the base and the labels, without braces.
func splitLabels(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")
	return base, strings.TrimSuffix(labels, "}")
}

// joinLabels returns labels and more in braces, or "" if both are empty.
func joinLabels(labels, more string) string {
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
