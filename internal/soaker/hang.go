package soaker

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// stackTime limits the time in which a process writes the stacks of its goroutines and exits
// after SIGQUIT.
const stackTime = 2 * time.Second

// examineHang returns what tells why the process has not exited since the time since: for how long
// this program was delayed and the process has written nothing to its log, what its threads do,
// and whether it exits after SIGQUIT. A process that does has written the stacks of its goroutines to
// its log. The channel is closed when the process has exited.
func (p *process) examineHang(since time.Time, exited <-chan struct{}) string {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil {
		return "not started"
	}
	delay := fmt.Sprintf("the soak test was delayed by up to %v", p.soak.lag.maxSince(since).Round(time.Millisecond))
	select {
	case <-exited:
		return delay + "; exited meanwhile"
	default:
	}
	silent := "no log"
	if i, err := os.Stat(p.logPath); err == nil {
		silent = fmt.Sprintf("nothing logged for %v", time.Since(i.ModTime()).Round(time.Millisecond))
	}
	threads := describeThreads(os.DirFS("/proc"), command.Process.Pid)
	p.signal(syscall.SIGQUIT)
	after := "exited after SIGQUIT"
	select {
	case <-exited:
	case <-time.After(stackTime):
		after = "still running after SIGQUIT: " + describeThreads(os.DirFS("/proc"), command.Process.Pid)
	}
	return strings.Join([]string{delay, silent, threads, after}, "; ")
}

// describeThreads returns the state of a process and of each of its threads, with the system call and
// the function of the kernel in which the thread waits. A process in the state Z has exited and was
// not waited for.
func describeThreads(files fs.FS, pid int) string {
	directory := strconv.Itoa(pid)
	tasks, err := fs.ReadDir(files, path.Join(directory, "task"))
	if err != nil {
		return fmt.Sprintf("process %d: %v", pid, err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "process %d %s, %d threads", pid, threadState(files, directory), len(tasks))
	for _, t := range tasks {
		thread := path.Join(directory, "task", t.Name())
		fmt.Fprintf(&b, ", %s", threadState(files, thread))
		for _, name := range []string{"wchan", "syscall"} {
			if data, err := fs.ReadFile(files, path.Join(thread, name)); err == nil {
				first, _, _ := strings.Cut(strings.TrimSpace(string(data)), " ")
				fmt.Fprintf(&b, " %s=%s", name, first)
			}
		}
	}
	return b.String()
}

// threadState returns the state of a thread or process, as one letter, or "?" if it has ended.
func threadState(files fs.FS, directory string) string {
	data, err := fs.ReadFile(files, path.Join(directory, "stat"))
	// The state follows the name, which is in parentheses.
	end := bytes.LastIndexByte(data, ')')
	if err != nil || end < 0 || len(data) < end+3 {
		return "?"
	}
	return string(data[end+2 : end+3])
}
