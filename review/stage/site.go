//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
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

	"radishspoke/internal/fake"
	"radishspoke/platform"
)

// site is a small deployment on loopback addresses of its own: a store, the other services
// of the platform, and machines.
type site struct {
	prefix string // of its addresses: 127.X.Y
	folder string // for settings and logs
	began  time.Time
	store  *fake.RowStore
	bounds platform.Bounds

	mu        sync.Mutex
	record    *os.File
	hosts     int // number of addresses in use
	servers   []*http.Server
	processes []*process
	runs      map[string][]string // targets that ran a request, by its id
	closed    bool

	// Ports of every machine, each at an address of its own.
	callersPort, readyPort, firstPort int
}

// newSite returns a site with a store and no machines.
func newSite(record string) (*site, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	s := &site{
		prefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)), folder: folder, began: time.Now(),
		store: fake.NewRowStore(), record: f, runs: map[string][]string{},
	}
	for _, port := range []*int{&s.callersPort, &s.readyPort, &s.firstPort} {
		if *port, err = freePort(s.prefix + ".1"); err != nil {
			return nil, err
		}
	}
	// The bounds of the sheet of Nour Festons.
	s.bounds = platform.Bounds{
		Grace: 8 * time.Second, Revoke: 5 * time.Second, StrictRevoke: true, RetryRatio: 0.2, RetrySlack: 56, Lease: 3 * time.Second,
		RateWindow: 8 * time.Second, RateOvershoot: 0.1, RateSlack: 110_000, UsageWindow: 5 * time.Second, Stretch: 5 * time.Second,
	}
	return s, nil
}

// note writes a line to the record, with the seconds since the start.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		_, _ = fmt.Fprintf(s.record, "%7.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)) // the exit code tells the result
	}
}

// since returns the time since the start of the site.
func (s *site) since() time.Duration { return time.Since(s.began) }

// address returns a new IP address.
func (s *site) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts++
	return s.prefix + "." + strconv.Itoa(s.hosts)
}

// serve serves HTTP at a new address and returns it as IP:port.
func (s *site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.address()+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	return l.Addr().String(), nil
}

// close ends all processes and removes the folder.
func (s *site) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	processes, servers := s.processes, s.servers
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, server := range servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// portRange is the number of ports for traffic between machines.
const portRange = 16

// freePort returns a port that is free at an address, with room for a range after it.
func freePort(ip string) (int, error) {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		if err := l.Close(); err != nil {
			return 0, err
		}
		if port+portRange < 1<<16 {
			return port, nil
		}
	}
}

// settings returns the settings of a machine with the front role at a new address.
func (s *site) settings(name, zone, store, duties string) platform.Settings {
	ip := s.address()
	return platform.Settings{
		Name: name, Zone: zone, Region: "region", Regions: map[string]string{"zone-a": "region", "zone-b": "region"}, IP: ip,
		Callers: net.JoinHostPort(ip, strconv.Itoa(s.callersPort)), Ready: net.JoinHostPort(ip, strconv.Itoa(s.readyPort)),
		FirstPort: s.firstPort, LastPort: s.firstPort + portRange - 1, Store: store, Duties: duties, Link: 125e6, Memory: 284e6, Descriptors: 4100,
		First: true, Bounds: s.bounds,
	}
}

// process is an entry or a sidecar that runs as a process of its own.
type process struct {
	settings platform.Settings
	command  *exec.Cmd
	ended    chan struct{}
}

// start starts a role with the command of the deploy file.
func (s *site) start(role string, o platform.Settings) (*process, error) {
	data, err := platform.EncodeSettings(o)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.folder, o.Name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, o.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{settings: o, command: exec.Command("target/radishspoked", role, "--metrics-port", "9464"), ended: make(chan struct{})}
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errors.New("the case has ended")
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	go func() {
		defer close(p.ended)
		_ = p.command.Wait() // how it ended does not matter
		_ = log.Close()
	}()
	return p, nil
}

// signal sends a signal to a process, unless it has ended.
func (p *process) signal(sig syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(sig) // fails only if it has just ended
	}
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// ready reports whether an entry says that it is ready.
func (p *process) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + p.settings.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until an entry is ready.
func (p *process) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.settings.Name, limit)
}
