package soaker

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishspoke/platform"
)

// process is an entry or a sidecar that runs as a process of its own, with its
// own IP address and settings.
type process struct {
	soak         *Soak
	name         string
	role         string // entry or sidecar
	ip           string
	store        *proxy // carries the connections of this process to the store
	duties       *proxy // carries its calls of the duties of the platform
	settingsPath string
	logPath      string
	delays       delayMonitor

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{} // closed when the process has exited
	exitRequested bool          // SIGTERM or SIGKILL was sent
	terminating   bool          // SIGTERM was sent; the process must exit without an error
	early         bool          // SIGTERM was sent before the process could handle signals
	disturbedAt   time.Time     // last kill, pause or resume; requests may fail around it
	startedAt     time.Time
	terminatedAt  time.Time // last SIGTERM
	paused        bool
	resumptions   []time.Time // ends of pauses
	starts        int
	logged        int64 // size of the log when the process was started
	ready         bool
}

// newProcess starts the proxy from a process to the store and writes the settings
// file of the process, but does not start the process. The argument engine is the
// address of the engine on the same host, empty for an entry. The argument linkRate
// is the capacity of the link of that host in bytes per second.
func newProcess(s *Soak, name, role, ip, engine string, linkRate float64) (*process, error) {
	p := &process{soak: s, name: name, role: role, ip: ip, settingsPath: filepath.Join(s.directory, name+".yaml"), logPath: filepath.Join(s.directory, name+".log")}
	var err error
	if p.store, err = newProxy(net.JoinHostPort(ip, strconv.Itoa(storePort)), s.storeAddress); err != nil {
		return nil, err
	}
	if p.duties, err = newProxy(net.JoinHostPort(ip, strconv.Itoa(dutiesPort)), s.storeAddress); err != nil {
		return nil, err
	}
	address := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	data, err := platform.EncodeSettings(platform.Settings{
		Name: name, Zone: zone, IP: ip, Callers: address(callersPort), Ready: address(readyPort), FirstPort: firstPort, LastPort: lastPort,
		Store: address(storePort), Duties: address(dutiesPort), Engine: engine, Group: engineService, Link: linkRate, First: true,
		Bounds: platform.Bounds{
			Grace: graceTime, Revoke: revokeTime, StrictRevoke: true, RetryRatio: 0.2, RetrySlack: 56, Lease: leaseTime, UsageWindow: usageWindow, Evacuate: evacuateTime,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.settingsPath, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	return p, nil
}

// start starts the process. Its output is appended to its log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	p.startedAt = time.Now()
	p.logged = p.logSize()
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	p.command = exec.Command(p.soak.settings.Program, p.role)
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.exited, p.exitRequested, p.terminating, p.early, p.paused, p.ready = exited, false, false, false, false, false
	command := p.command
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		defer close(exited) // after the findings, which are evaluated once all processes have exited
		p.ready = false
		switch {
		case !p.exitRequested:
			p.soak.recorder.addFinding("exit", "", "%s exited unexpectedly: %v", p.name, err)
		case p.early && endedBy(err, syscall.SIGTERM):
		case p.terminating && err != nil:
			p.soak.recorder.addFinding("exit", "", "%s exited with an error after SIGTERM: %v", p.name, err)
		}
	}()
	return nil
}

// endedBy reports whether a process with the given error of Wait was ended by a signal.
func endedBy(err error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// logSize returns the size of the log in bytes, 0 if there is none.
func (p *process) logSize() int64 {
	i, err := os.Stat(p.logPath)
	if err != nil {
		return 0
	}
	return i.Size()
}

// signal sends a signal to the process if it is running. A process that has written nothing to its
// log may not handle signals yet. It is sent no SIGHUP, which would end it whatever its program, and
// may be ended by SIGTERM.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
		return
	default:
	}
	starting := p.logSize() <= p.logged
	switch s {
	case syscall.SIGHUP:
		if starting {
			return
		}
	case syscall.SIGKILL:
		p.exitRequested, p.terminating, p.disturbedAt = true, false, time.Now()
	case syscall.SIGQUIT:
		p.exitRequested, p.terminating = true, false
	case syscall.SIGTERM:
		p.exitRequested, p.terminating, p.early, p.terminatedAt = true, true, starting, time.Now()
	case syscall.SIGSTOP:
		p.paused, p.disturbedAt = true, time.Now()
	case syscall.SIGCONT:
		p.paused, p.disturbedAt = false, time.Now()
		p.resumptions = append(p.resumptions, p.disturbedAt)
	}
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.soak.recorder.addFinding("soak", "", "process %s could not be sent signal %v: %v", p.name, s, err)
	}
}

// wait waits until the process has exited. It kills a process that still runs after
// the grace period, and adds a finding unless the process is paused, or was killed,
// paused or resumed in that period. The grace period is longer by the time for which
// the process waits for a processor.
func (p *process) wait() {
	began := time.Now()
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	for end := began.Add(graceTime); ; end = began.Add(graceTime + p.delays.sumSince(began)) {
		select {
		case <-exited:
			if time.Since(began) > graceTime {
				p.soak.recorder.addDelayed()
			}
			return
		case <-time.After(time.Until(end)):
		}
		if time.Since(began) >= graceTime+p.delays.sumSince(began) {
			break
		}
	}
	p.mu.Lock()
	disturbed := p.paused || time.Since(p.disturbedAt) < graceTime
	p.mu.Unlock()
	if !disturbed {
		p.soak.recorder.addFinding("exit", "", "%s is still running after its grace period of %v: %s", p.name, graceTime, p.examineHang(began, exited))
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-exited
}

// restart stops a process with a signal and starts it again after a pause. It
// does nothing if the process is already being stopped.
func (p *process) restart(s syscall.Signal, pause time.Duration) {
	p.mu.Lock()
	if p.exitRequested {
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.signal(s)
	p.soak.tasks.Go(func() {
		p.wait()
		time.Sleep(pause)
		if err := p.start(); err != nil {
			p.soak.recorder.addFinding("soak", "", "%v", err)
		}
	})
}

// disturbedSince reports whether the process is paused, or was killed, paused or
// resumed after t or less than disturbanceTime before it.
func (p *process) disturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused || p.disturbedAt.After(t.Add(-disturbanceTime))
}

// disturbanceTime is the time after a kill, a pause or a resume in which requests may
// still fail, because calls time out and broken connections are found only then.
const disturbanceTime = 2 * time.Second

// pollReadiness queries the readiness endpoint of an entry, as the platform does
// to decide whether to send callers there.
func (p *process) pollReadiness(client *http.Client) {
	r, err := client.Get("http://" + net.JoinHostPort(p.ip, strconv.Itoa(readyPort)) + "/readiness")
	ready := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_ = r.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = ready
}

// isReady reports whether the last readiness probe succeeded.
func (p *process) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}
