package logwriter_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/state/logwriter"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// TestBlocked logs to an output that blocks. Logging must not block, lines of
// lower levels must be dropped before warnings, and the number of dropped lines
// must be logged.
func TestBlocked(t *testing.T) {
	c := qt.New(t)
	b := &blockedWriter{unblock: make(chan struct{})}
	h := logwriter.New(b, slog.LevelInfo)
	log := slog.New(h).With("process", "e")
	for range 3000 {
		log.Info("answered")
	}
	for range 1000 {
		log.Warn("refused")
	}
	log.Debug("not shown")
	dropped := h.Dropped()
	c.Assert(dropped > 0, qt.IsTrue)
	close(b.unblock)
	h.Close()
	text := b.out.String()
	c.Assert(strings.Count(text, "msg=refused"), qt.Equals, 1000)
	c.Assert(int64(strings.Count(text, "msg=answered"))+dropped, qt.Equals, int64(3000))
	c.Assert(strings.Contains(text, "log lines dropped"), qt.IsTrue)
	c.Assert(strings.Contains(text, "not shown"), qt.IsFalse)
	c.Assert(strings.Contains(text, "process=e"), qt.IsTrue)
}
