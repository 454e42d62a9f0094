package assembler

import (
	"net"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"radishspoke"
	"radishspoke/state/recorder"
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
