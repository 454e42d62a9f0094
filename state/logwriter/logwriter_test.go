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

// gate is a writer that blocks until open is closed.
type gate struct {
	open chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(p)
}

// TestBlocked logs to an output that blocks. Logging must not block, warnings must
// be kept longer than lines of lower levels, and the dropped lines be reported.
func TestBlocked(t *testing.T) {
	c := qt.New(t)
	g := &gate{open: make(chan struct{})}
	p := logwriter.New(g, slog.LevelInfo)
	log := slog.New(p).With("process", "e")
	for range 3000 {
		log.Info("answered")
	}
	for range 1000 {
		log.Warn("refused")
	}
	log.Debug("not shown")
	dropped := p.Dropped()
	c.Assert(dropped > 0, qt.IsTrue)
	close(g.open)
	p.Close()
	text := g.out.String()
	c.Assert(strings.Count(text, "msg=refused"), qt.Equals, 1000)
	c.Assert(int64(strings.Count(text, "msg=answered"))+dropped, qt.Equals, int64(3000))
	c.Assert(strings.Contains(text, "log lines dropped"), qt.IsTrue)
	c.Assert(strings.Contains(text, "not shown"), qt.IsFalse)
	c.Assert(strings.Contains(text, "process=e"), qt.IsTrue)
}
