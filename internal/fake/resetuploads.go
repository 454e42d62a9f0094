package fake

import (
	"io"
	"net"
	"time"
)

// ResetUploads serves connections until the listener is closed. It reads the begin of a
// request, answers with a status of 200 and the body "part" without a length, and resets
// the connection up to 3 ms later, while the rest of the request may be arriving.
func ResetUploads(l net.Listener) {
	for i := 0; ; i++ {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		// Errors end the connection, which is reset anyway.
		_, _ = io.ReadAtLeast(conn, make([]byte, 1<<10), 1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		time.Sleep(time.Duration(i%4) * time.Millisecond)
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
	}
}
