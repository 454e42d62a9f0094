package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startScript starts a shell script as a process.
func startScript(c *qt.C, script string) *process {
	directory := c.TempDir()
	program := filepath.Join(directory, "program")
	c.Assert(os.WriteFile(program, []byte("#!/bin/sh\n"+script), 0o700), qt.IsNil)
	s := &Soak{settings: Settings{Program: program}, directory: directory, recorder: newRecorder(), lag: &lagMonitor{}}
	p := &process{soak: s, name: "front-1", logPath: filepath.Join(directory, "front-1.log")}
	c.Assert(p.start(), qt.IsNil)
	return p
}

// Guards against a finding of the check exit for a process that got SIGHUP before it could handle
// signals.
func TestHangupOfStartingProcess(t *testing.T) {
	c := qt.New(t)
	early := startScript(c, "exec sleep 60\n")
	early.signal(syscall.SIGHUP)
	select {
	case <-early.exited:
		c.Error("SIGHUP has ended a process that had not written anything")
	case <-time.After(100 * time.Millisecond):
	}
	early.signal(syscall.SIGKILL)
	<-early.exited
	c.Assert(checks(early.soak.recorder), qt.HasLen, 0)

	// A process that has written something must handle SIGHUP.
	late := startScript(c, "echo started\nexec sleep 60\n")
	for late.logSize() == 0 {
		time.Sleep(time.Millisecond)
	}
	late.signal(syscall.SIGHUP)
	<-late.exited
	c.Assert(checks(late.soak.recorder), qt.DeepEquals, []string{"exit"})
}

// Guards against a finding of the check exit for a process that SIGTERM ended before it could handle
// signals.
func TestTerminationOfStartingProcess(t *testing.T) {
	for _, test := range []struct {
		name, script string
		started      bool // SIGTERM is sent after the process has written something
		found        []string
	}{
		{"starting", "exec sleep 60\n", false, nil},
		{"started", "echo started\nexec sleep 60\n", true, []string{"exit"}},
		{"starting, error", "trap 'exit 3' TERM\n: >trapped\nwhile :; do sleep 0.01; done\n", false, []string{"exit"}},
	} {
		c := qt.New(t)
		c.Chdir(c.TempDir())
		p := startScript(c, test.script)
		for test.started && p.logSize() == 0 {
			time.Sleep(time.Millisecond)
		}
		for trapped := !strings.Contains(test.script, "trapped"); !trapped; time.Sleep(time.Millisecond) {
			_, err := os.Stat("trapped")
			trapped = err == nil
		}
		p.signal(syscall.SIGTERM)
		<-p.exited
		c.Assert(checks(p.soak.recorder), qt.DeepEquals, test.found, qt.Commentf("%s", test.name))
	}
}

// Guards against a finding of the check soak for a process that has just exited after SIGKILL.
func TestSignalToProcessThatHasExited(t *testing.T) {
	c := qt.New(t)
	p := &process{soak: &Soak{recorder: newRecorder()}, name: "front-1", command: exec.Command("true"), exited: make(chan struct{})}
	c.Assert(p.command.Run(), qt.IsNil)
	p.signal(syscall.SIGSTOP)
	p.signal(syscall.SIGCONT)
	c.Assert(checks(p.soak.recorder), qt.HasLen, 0)
}
