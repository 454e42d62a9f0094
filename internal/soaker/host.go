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

// host is a process of the product, and what it is told.
type host struct {
	soak  *Soak
	name  string
	role  string // entry or sidecar
	ip    string
	store *proxy // its own way to the store
	path  string // of the settings file

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{} // closed when the process is gone
	asked    bool          // its end is asked for
	stopping bool          // by SIGTERM, in its grace
	upset    time.Time     // when it was killed or paused last; requests may be lost around it
	paused   bool
	starts   int
	ready    bool
}

// newHost writes the settings of a host. Engine is the target on it, if any;
// link what its link carries, in bytes a second.
func newHost(s *Soak, name, role, ip, engine string, link float64) (*host, error) {
	h := &host{soak: s, name: name, role: role, ip: ip, path: filepath.Join(s.directory, name+".yaml")}
	var err error
	if h.store, err = newProxy(net.JoinHostPort(ip, strconv.Itoa(storePort)), s.storeAddress); err != nil {
		return nil, err
	}
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	data, err := platform.EncodeSettings(platform.Settings{
		Name: name, Zone: zone, IP: ip, Callers: at(callersPort), Ready: at(readyPort), FirstPort: firstPort, LastPort: lastPort,
		Store: at(storePort), Duties: at(storePort), Engine: engine, Group: engineService, Link: link, First: true,
		Bounds: platform.Bounds{
			Grace: graceTime, Revoke: revokeTime, StrictRevoke: true, RetryRatio: 0.2, RetrySlack: 56, Lease: leaseTime, UsageWindow: usageWindow,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.path, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return h, nil
}

// start starts the process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	log, err := os.OpenFile(filepath.Join(h.soak.directory, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	h.command = exec.Command(h.soak.settings.Program, h.role)
	h.command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.path)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", h.name)
	}
	exited := make(chan struct{})
	h.exited, h.asked, h.stopping, h.paused, h.ready = exited, false, false, false, false
	command := h.command
	go func() {
		err := command.Wait()
		_ = log.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		close(exited)
		h.ready = false
		switch {
		case !h.asked:
			h.soak.ledger.find("exit", "", "%s ended by itself: %v", h.name, err)
		case h.stopping && err != nil:
			h.soak.ledger.find("exit", "", "%s ended with an error when it was stopped: %v", h.name, err)
		}
	}()
	return nil
}

// signal sends the process a signal, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	select {
	case <-h.exited:
		return
	default:
	}
	switch s {
	case syscall.SIGKILL:
		h.asked, h.stopping, h.upset = true, false, time.Now()
	case syscall.SIGTERM:
		h.asked, h.stopping = true, true
	case syscall.SIGSTOP:
		h.paused, h.upset = true, time.Now()
	case syscall.SIGCONT:
		h.paused, h.upset = false, time.Now()
	}
	if err := h.command.Process.Signal(s); err != nil {
		h.soak.ledger.find("soak", "", "%s not signalled with %v: %v", h.name, s, err)
	}
}

// wait waits for the end of the process. One that takes longer than its grace is
// killed and found.
func (h *host) wait() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		h.mu.Lock()
		innocent := h.paused || time.Since(h.upset) < graceTime
		h.mu.Unlock()
		if !innocent {
			h.soak.ledger.find("exit", "", "%s still runs after its grace of %v", h.name, graceTime)
		}
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// disturbed tells whether the process was killed or paused since a moment, or
// was not sound shortly before.
func (h *host) disturbed(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paused || h.upset.After(since.Add(-disturbance))
}

// disturbance is how long a kill or a pause shows in what comes after: calls
// that time out, connections that are found dead.
const disturbance = 2 * time.Second

// poll asks an entry whether callers should be sent there, as the platform does.
func (h *host) poll(client *http.Client) {
	r, err := client.Get("http://" + net.JoinHostPort(h.ip, strconv.Itoa(readyPort)) + "/readiness")
	ready := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_ = r.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

func (h *host) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}
