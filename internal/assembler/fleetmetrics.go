package assembler

import (
	"net"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"radishspoke"
	"radishspoke/state/recorder"
)

// newMetricsServer returns a server of a recorder's metrics; it is not served if
// port is 0.
func newMetricsServer(ip string, port int, r *recorder.Recorder) *http.Server {
	m := mux.NewRouter()
	m.Handle("/metrics", r)
	s := &http.Server{Handler: m, ReadHeaderTimeout: headerTime}
	if port > 0 {
		s.Addr = net.JoinHostPort(ip, strconv.Itoa(port))
	}
	return s
}

// serveMetrics serves metrics in a goroutine that run starts.
func serveMetrics(s *http.Server, n radishspoke.Network, run func(func())) error {
	if s.Addr == "" {
		return nil
	}
	l, err := n.Listen(s.Addr)
	if err != nil {
		return err
	}
	run(func() { _ = s.Serve(l) }) // ends when the server is closed
	return nil
}
