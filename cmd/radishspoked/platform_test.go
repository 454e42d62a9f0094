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

// TestHangUp checks that SIGHUP, which the platform sends when the settings have
// changed, does not end the process, whether the settings file is missing, not valid
// YAML or incomplete.
func TestHangUp(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "node.yaml")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	changed, stop := notifyHangup()
	defer stop()
	go func() {
		defer close(ended)
		awaitStop(ctx, path, changed)
	}()
	for _, text := range []string{"", "Node: [", "Node: front-1\n"} {
		if text != "" {
			c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		}
		c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
		select {
		case <-ended:
			c.Fatal("the process ended on SIGHUP")
		case <-time.After(50 * time.Millisecond):
		}
	}
	cancel()
	<-ended
}
