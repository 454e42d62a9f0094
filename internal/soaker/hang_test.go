package soaker

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/fstest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDescribeThreads checks that the states of a process and of its threads are told apart, also if
// a thread ends meanwhile.
func TestDescribeThreads(t *testing.T) {
	c := qt.New(t)
	file := func(data string) *fstest.MapFile { return &fstest.MapFile{Data: []byte(data)} }
	files := fstest.MapFS{
		"7/stat":           file("7 (a) R b) Z 1 7"),
		"7/task/7/stat":    file("7 (a) R b) Z 1 7"),
		"7/task/7/wchan":   file("0"),
		"7/task/8/stat":    file("8 (a) R b) D 1 7"),
		"7/task/8/wchan":   file("exit_mm"),
		"7/task/8/syscall": file("94 0x0 0x1\n"),
		"7/task/9/wchan":   file("0"),
	}
	c.Assert(describeThreads(files, 7), qt.Equals, "process 7 Z, 3 threads, Z wchan=0, D wchan=exit_mm syscall=94, ? wchan=0")
	c.Assert(describeThreads(files, 6), qt.Matches, "process 6: .*not exist")
}

// TestExamineHang checks that a process that hangs after SIGTERM is told from one that does not
// exit after SIGQUIT either, and that the first one can write its stacks to its log.
func TestExamineHang(t *testing.T) {
	for _, test := range []struct{ name, trap, want string }{
		{"hangs", "echo stacks; exit 2", "the soak test was delayed by up to 2s; nothing logged for .*; process .*, 1 threads, .*; exited after SIGQUIT"},
		{"deaf", "echo deaf", "the soak test was delayed by up to 2s; nothing logged for .*; process .*; still running after SIGQUIT: process .*"},
	} {
		c := qt.New(t)
		p := startScript(c, "trap '' TERM\ntrap '"+test.trap+"' QUIT\necho started\nwhile :; do sleep 0.01; done\n")
		for p.logSize() == 0 {
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		p.soak.lag.samples = []lagSample{{began, time.Minute}, {began.Add(1), 2 * time.Second}} // the first is before
		p.signal(syscall.SIGTERM)
		c.Assert(p.examineHang(began, p.exited), qt.Matches, test.want, qt.Commentf("%s", test.name))
		p.signal(syscall.SIGKILL)
		<-p.exited
		c.Assert(p.examineHang(began, p.exited), qt.Equals, "the soak test was delayed by up to 2s; exited meanwhile")
		log, err := os.ReadFile(p.logPath)
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Contains(string(log), "stacks") || strings.Contains(string(log), "deaf"), qt.IsTrue)
		c.Assert(checks(p.soak.recorder), qt.HasLen, 0)
	}
}
