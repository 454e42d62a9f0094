package soaker

import (
	"fmt"
	"io/fs"
	"os"
	"path"
	"strconv"
	"sync"
	"time"
)

const delayInterval = 100 * time.Millisecond

// delayMonitor measures the time for which threads of a process were ready to run and did not run,
// so that a busy host is not mistaken for a slow process. It measures nothing where the
// kernel does not report that. The zero value reads /proc.
type delayMonitor struct {
	files fs.FS // has the directory of the process; that of /proc if nil

	mu      sync.Mutex
	threads map[string]threadDelay // by ID, at the last sample
	samples []lagSample
}

// threadDelay is what the kernel reports of a thread.
type threadDelay struct {
	run, wait time.Duration // since its start; a wait counts once it is over
	counted   time.Duration // of the wait that is not over
}

// sample records the longest delay of a thread of the process with the given ID since the last
// sample, which was taken interval ago.
func (m *delayMonitor) sample(pid int, now time.Time, interval time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	files := m.files
	if files == nil {
		files = os.DirFS("/proc")
	}
	tasks := path.Join(strconv.Itoa(pid), "task")
	entries, err := fs.ReadDir(files, tasks)
	if err != nil {
		m.threads = nil
		return
	}
	threads := make(map[string]threadDelay, len(entries))
	longest := time.Duration(0)
	for _, e := range entries {
		directory := path.Join(tasks, e.Name())
		var t threadDelay
		data, err := fs.ReadFile(files, path.Join(directory, "schedstat"))
		if err != nil {
			continue // it has ended
		}
		if _, err := fmt.Sscan(string(data), &t.run, &t.wait); err != nil {
			continue
		}
		last, known := m.threads[e.Name()]
		delay := t.wait
		switch {
		case known && t.run == last.run && t.wait == last.wait:
			if delay = 0; ready(files, directory) {
				delay = interval
			}
			t.counted = last.counted + delay
		case known:
			delay = max(0, t.wait-last.wait-last.counted)
		}
		threads[e.Name()] = t
		longest = max(longest, delay)
	}
	m.threads = threads
	if longest > minLag {
		m.samples = append(m.samples, lagSample{now, longest})
	}
}

// ready reports whether a thread can run.
func ready(files fs.FS, directory string) bool { return threadState(files, directory) == "R" }

// sumSince returns the sum of the delays recorded after t.
func (m *delayMonitor) sumSince(t time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum time.Duration
	for i := len(m.samples) - 1; i >= 0 && m.samples[i].at.After(t); i-- {
		sum += m.samples[i].lag
	}
	return sum
}

// monitorDelays samples the delays of the process until stop is closed.
func (p *process) monitorDelays(stop <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(delayInterval):
		}
		p.mu.Lock()
		command, paused := p.command, p.paused
		p.mu.Unlock()
		now := time.Now()
		if command != nil && !paused {
			p.delays.sample(command.Process.Pid, now, now.Sub(last))
		}
		last = now
	}
}
