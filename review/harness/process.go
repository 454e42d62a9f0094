//go:build review

package harness

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Deployment holds what the processes of a small deployment have in common.
type Deployment struct {
	Record *Record
	Store  *Store
	Cloud  *Cloud

	folder       string // of the settings files and logs
	storeAddress string
	cloudAddress string
	subnet       string // first three numbers of the addresses of hosts

	mu        sync.Mutex
	processes []*Process
	hosts     int
}

// NewDeployment starts the stand-ins of the platform.
func NewDeployment(r *Record) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	d := &Deployment{Record: r, Store: NewStore(r), Cloud: NewCloud(r), folder: folder}
	if d.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	d.closeOnSignal()
	for _, s := range []struct {
		address *string
		handler http.Handler
	}{{&d.storeAddress, d.Store}, {&d.cloudAddress, d.Cloud}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen as platform: %w", err)
		}
		*s.address = l.Addr().String()
		go func() { _ = http.Serve(l, s.handler) }()
	}
	return d, nil
}

// hostsChecked is the number of hosts of a subnet whose ports must be free.
const hostsChecked = 3

// errNoPorts is returned if no subnet of loopback addresses has free ports.
var errNoPorts = errors.New("no free ports")

// freeSubnet returns the first three numbers of loopback addresses on which the ports of all
// hosts are free.
func freeSubnet() (string, error) {
	for try := range 50 {
		n := os.Getpid() + try*977
		subnet := fmt.Sprintf("127.%d.%d", 16+n%200, 1+n/200%250)
		if isFree(subnet) {
			return subnet, nil
		}
	}
	return "", errNoPorts
}

func isFree(subnet string) bool {
	for host := 1; host <= hostsChecked; host++ {
		for _, port := range []string{metricsPort, strconv.Itoa(frontPort), strconv.Itoa(readyPort), strconv.Itoa(firstPort)} {
			l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("%s.%d", subnet, host), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// closeOnSignal ends all processes if this one is told to end.
func (d *Deployment) closeOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-c
		d.Close()
		os.Exit(2)
	}()
}

// Close kills all processes that were started and removes the folder, except the logs.
func (d *Deployment) Close() {
	d.mu.Lock()
	list := append([]*Process(nil), d.processes...)
	d.mu.Unlock()
	for _, p := range list {
		p.Kill()
	}
	_ = os.RemoveAll(d.folder)
}

// Bounds are the bounds in the settings of all processes.
const bounds = `Bounds:
  SeedLagS: 3
  ReuseAfterS: 2
  ContactMs: 3000
  AckTimeoutMs: 4000
  CatchUpS: 4
  DrainMs: 2000
  GraceS: 8
  LossSlackMs: 200
  ConfigApplyMs: 2000
  RollbackSlackMs: 250
  MaxStretchMs: 5000
  StrictRevoke: true
  RevokeMs: 5000
  RetryBudgetRatio: 0.2
  BudgetWindowS: 10
  BudgetSlack: 56
  QuotaWindowS: 8
  QuotaOvershoot: 0.1
  QuotaSlack: 110000
  FencingRequired: false
  LeaseMs: 3000
  ThawMs: 300
  UsageWindowS: 5
  UsageTolerance: 0.05
  UsageLateS: 10
  RecoveryS: 12
  TransitMs: 120
  RetryAfterS: 4.3
`

// Host is a host that runs one process at a time.
type Host struct {
	Name      string
	IP        string
	FirstPort int
	Front     string // address for consumers; empty on hosts without entry
	Ready     string

	deployment *Deployment
	role       string
	settings   string // path of the settings file
}

// ports of a host. Each host has an address of its own.
const (
	frontPort = 18360
	readyPort = 18365
	firstPort = 17500
)

// AddFront adds a host for an entry. If mbps is not 0, the bytes from the store pass a link of
// that rate.
func (d *Deployment) AddFront(name, zone string, mbps float64) (*Host, error) {
	d.hosts++
	store, rate := d.storeAddress, 1000.0
	if mbps > 0 {
		var err error
		if store, err = newLink(d.storeAddress, mbps); err != nil {
			return nil, err
		}
		rate = mbps
	}
	h := &Host{Name: name, IP: fmt.Sprintf("%s.%d", d.subnet, d.hosts), FirstPort: firstPort, deployment: d, role: "entry"}
	h.Front, h.Ready = fmt.Sprintf("%s:%d", h.IP, frontPort), fmt.Sprintf("%s:%d", h.IP, readyPort)
	text := fmt.Sprintf(`Node: %q
Role: "entry"
MachineClass: "front"
Serves: ["front"]
Ip: %q
Zone: %q
Region: "one"
Zones: {a: "one", b: "one", c: "one"}
Listen: {Front: %q, Ready: %q}
PortRange: [%d, %d]
Bootstrap: true
Limits: {CpuShare: 0.304, Cores: 1, MemoryMb: 284, MaxFds: 4100, LinkMbps: %.1f, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
FaultTolerance: {Machines: 2, Zones: 0, Regions: 0}
%sPlatform: {Address: %q, form: "table", WritesPerS: 400, ReadsPerS: 2000, TxMs: 5.0, PartWritesS: 200, RowBytes: 65536, Across: false, HistoryS: 20}
Cloud: {Address: %q, RatePerS: 50.0, Duties: ["usage"], DutyPerS: 50.0}
`, name, h.IP, zone, h.Front, h.Ready, firstPort, firstPort+15, rate, bounds, store, d.cloudAddress)
	h.settings = filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return h, nil
}

// Process is a running process.
type Process struct {
	Host *Host

	record *Record
	cmd    *exec.Cmd
	done   chan struct{}
}

// metricsPort is that of the commands in the deploy file.
const metricsPort = "9464"

// Start starts the process of a host with the command of the deploy file.
func (h *Host) Start() (*Process, error) {
	log, err := os.OpenFile(filepath.Join(h.deployment.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/radishspoked", h.role, "--metrics-port", metricsPort)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "RADISHSPOKE_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", h.Name, err)
	}
	p := &Process{Host: h, record: h.deployment.Record, cmd: cmd, done: make(chan struct{})}
	p.record.Printf("%s: started", h.Name)
	go func() {
		err := cmd.Wait()
		p.record.Printf("%s: ended: %v", h.Name, err)
		close(p.done)
	}()
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	h.deployment.processes = append(h.deployment.processes, p)
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.record.Printf("%s: %v", p.Host.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits for the end of the process, at most for the given time.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// ErrNotReady is returned if an entry doesn't become ready.
var ErrNotReady = errors.New("entry does not become ready")

// AwaitReady waits until the entry of a host is ready.
func (h *Host) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.IsReady() {
			h.deployment.Record.Printf("%s: ready", h.Name)
			return nil
		}
	}
	return fmt.Errorf("%s: %w", h.Name, ErrNotReady)
}

// IsReady asks the entry of a host once whether it is ready.
func (h *Host) IsReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Log returns the lines in the log of a host that contain a text.
func (h *Host) Log(text string) []string {
	data, err := os.ReadFile(filepath.Join(h.deployment.folder, h.Name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}
