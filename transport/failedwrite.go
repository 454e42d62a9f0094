package transport

import (
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// failedWriteConn is a connection whose reads don't end with io.EOF after a write has failed. The
// system reports a reset of a connection once: if a write gets it, a read sees an ordinary end
// of the connection, and with it that of a body without a length.
type failedWriteConn struct {
	net.Conn

	mu     sync.Mutex // held during writes
	failed error      // of the first write that failed
}

// Write implements io.Writer.
func (c *failedWriteConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *failedWriteConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock() // waits for a write that may be about to fail
	defer c.mu.Unlock()
	if c.failed != nil {
		return n, fmt.Errorf("%w after a failed write: %w", io.ErrUnexpectedEOF, c.failed)
	}
	return n, err
}
