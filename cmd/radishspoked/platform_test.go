package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHangUp sends the signal of changed settings, with good and with bad ones,
// to a process that serves: it goes on.
func TestHangUp(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "node.yaml")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	changed, ignore := hangUps()
	defer ignore()
	go func() {
		defer close(ended)
		await(ctx, path, changed)
	}()
	for _, text := range []string{"", "Node: [", "Node: front-1\n"} {
		if text != "" {
			c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		}
		c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
		select {
		case <-ended:
			c.Fatal("the process ends at a hang-up")
		case <-time.After(50 * time.Millisecond):
		}
	}
	cancel()
	<-ended
}
