package budgeter

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Reasons for which clients are refused or closed.
const (
	reasonLongHead    = "head too long"
	reasonMemory      = "no memory"
	reasonRunning     = "too many requests run"
	reasonConnections = "too many connections"
	reasonHead        = "incomplete head"
	reasonIdle        = "idle connection"
	reasonStalled     = "body without progress"
	reasonLargest     = "largest body"
	reasonReader      = "answer not read"
)

// reasons lists all reasons, for the metrics.
var reasons = []string{
	reasonLongHead, reasonMemory, reasonRunning, reasonConnections, reasonHead, reasonIdle, reasonStalled, reasonLargest, reasonReader,
}

// logInterval is the time between two log lines with the same reason.
const logInterval = 10 * time.Second

// reporter counts and logs refusals.
type reporter struct {
	log *slog.Logger

	mu       sync.Mutex
	total    map[string]int64
	logged   map[string]int64 // value of total at the last line
	loggedAt map[string]time.Time
}

func newReporter(log *slog.Logger) *reporter {
	return &reporter{log: log, total: map[string]int64{}, logged: map[string]int64{}, loggedAt: map[string]time.Time{}}
}

// count counts a client that was refused or closed, and logs it unless the reason has been
// logged within logInterval.
func (r *reporter) count(reason, client string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total[reason]++
	now := time.Now()
	if at, ok := r.loggedAt[reason]; ok && now.Sub(at) < logInterval {
		return
	}
	n := r.total[reason] - r.logged[reason]
	r.logged[reason], r.loggedAt[reason] = r.total[reason], now
	r.log.Warn("client refused", "reason", reason, "client", client, "number", n)
}

func (r *reporter) count64(reason string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.total[reason])
}

// Gauges registers gauges. See recorder.Recorder.
type Gauges interface {
	Gauge(name string, value func() float64)
}

// Register registers the metrics of the budget, before the calls of Protect.
func (b *Budget) Register(g Gauges) {
	b.gauges = g
	b.gauge("client_memory_bytes", func() float64 { return float64(b.used) })
	g.Gauge("client_memory_limit_bytes", func() float64 { return float64(b.memory) })
	for _, reason := range reasons {
		g.Gauge(fmt.Sprintf("clients_refused_total{reason=%q}", reason), func() float64 { return b.reporter.count64(reason) })
	}
}

// gauge registers a gauge whose value is read while the budget is locked, if there are metrics.
func (b *Budget) gauge(name string, value func() float64) {
	if b.gauges == nil {
		return
	}
	b.gauges.Gauge(name, func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return value()
	})
}
