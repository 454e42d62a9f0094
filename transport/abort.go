package transport

import "net/http"

// Abort ends the response to a request so that the caller sees that the response is
// incomplete. It does not return. A response to HTTP/1.0 has no chunks, and only a
// reset of the connection shows that it has not ended.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection of a response with a reset, if it is a TCP connection.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the server closes the connection
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only if the connection is closed already
	}
	_ = conn.Close()
}
