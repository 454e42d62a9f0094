package assembler

import (
	"net"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"radishspoke"
	"radishspoke/coordination/admitter"
	"radishspoke/coordination/throttler"
	"radishspoke/state/recorder"
	"radishspoke/transport/budgeter"
)

// newMetricsServer returns an HTTP server for the metrics of a recorder. If port
// is 0, its address is empty and serveMetrics does not start it.
func newMetricsServer(ip string, port int, r *recorder.Recorder) *http.Server {
	m := mux.NewRouter()
	m.Handle("/metrics", r)
	s := &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout}
	if port > 0 {
		s.Addr = net.JoinHostPort(ip, strconv.Itoa(port))
	}
	return s
}

// serveMetrics starts a server that newMetricsServer returned. The server runs
// in a goroutine that is started by calling run. It returns an error if the
// listener cannot be opened.
func serveMetrics(s *http.Server, n radishspoke.Network, b *budgeter.Budget, run func(func())) error {
	if s.Addr == "" {
		return nil
	}
	l, err := n.Listen(s.Addr)
	if err != nil {
		return err
	}
	l = b.Protect(s, l, budgeter.Port{Name: "metrics", Share: budgeter.OtherShare, Reserved: true, Limits: peerLimits})
	run(func() { _ = s.Serve(l) }) // ends when the server is closed
	return nil
}

// registerGauges registers the gauges in the metrics of this entry.
func (e *FleetEntry) registerGauges() {
	e.recorder.Gauge("requests_running", func() float64 { return float64(e.activeRequests.Load()) })
	e.recorder.Gauge("requests_interrupted", func() float64 { return float64(e.interrupted.Load()) })
	e.recorder.Gauge("config_version", func() float64 {
		if t := e.watcher.Table(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	e.recorder.Gauge("config_version_reported", func() float64 { return float64(e.watcher.Reported()) })
	e.recorder.Gauge("config_proof_age_seconds", func() float64 { return (e.env.Clock.Now() - e.watcher.Proof()).Seconds() })
	e.recorder.Gauge("store_era", func() float64 { return float64(e.table.History().Position.Era) })
	e.recorder.Gauge("usage_windows_skipped", func() float64 { return float64(e.biller.Skipped()) })
	registerEvacuations(e.recorder, e.evacuator)
	e.recorder.Gauge("targets_listed", func() float64 { return float64(len(e.watcher.Instances())) })
	e.recorder.Gauge("peers_live", func() float64 {
		n := 0
		for _, p := range e.gossiper.Peers() {
			if p.Live {
				n++
			}
		}
		return float64(n)
	})
	e.recorder.Gauge("streams_recorded", func() float64 { return float64(e.registry.Len()) })
	e.recorder.Gauge("causes_quarantined", func() float64 { return float64(e.quarantiner.Quarantined()) })
	registerLimits(e.recorder, e.throttler)
	e.recorder.Gauge("groups_short", func() float64 { return float64(len(e.admitter.Short())) })
	e.recorder.Gauge("requests_shed", func() float64 { return e.admitter.Rejected(admitter.Overload) })
	e.recorder.Gauge("requests_unreachable", func() float64 { return e.admitter.Rejected(admitter.Unreachable) })
	e.recorder.Gauge("target_connections_opened", func() float64 { return float64(e.targetClient.DialCount()) })
}

// registerLimits registers the gauges about the limits of targets.
func registerLimits(r *recorder.Recorder, t *throttler.Throttler) {
	r.Gauge("targets_limited", func() float64 { n, _ := t.Limited(); return float64(n) })
	r.Gauge("targets_limited_rate", func() float64 { _, rate := t.Limited(); return rate })
	r.Gauge("targets_cold", func() float64 { return float64(t.ColdTargets()) })
	r.Gauge("targets_limited_requests", func() float64 { return float64(t.Sent()) })
}
