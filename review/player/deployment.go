//go:build review

package player

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"radishspoke/internal/fake"
)

// Offsets of the ports of a deployment from its first port. Those below portsBetween are for
// the traffic between processes. They are the same on all hosts.
const (
	portsBetween = 16
	callersPort  = 20
	readyPort    = 21
	enginePort   = 22
	storePort    = 23
	lastPort     = storePort
)

// metricsPort is the port of the commands in the deploy file. Each host has an address of its own.
const metricsPort = 9464

// maxTries bounds the further tries to find free ports.
const maxTries = 10

// Host numbers, the last byte of the address of a host.
const (
	storeHost   = 250
	firstEntry  = 10
	firstEngine = 50
)

// stopTime is the time for which Close waits for a process after its kill.
const stopTime = 5 * time.Second

// Deployment is a small deployment whose hosts have loopback addresses of their own.
type Deployment struct {
	Record *Record
	Store  *fake.RowStore

	network   string // the first three bytes of all addresses
	firstPort int
	folder    string
	program   string

	mu        sync.Mutex
	servers   []*http.Server
	processes []*Process
}

// Process is one process of the deployment.
type Process struct {
	Name string

	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

// NewDeployment returns a deployment without processes, whose store listens. The program is
// that of the deploy file.
func NewDeployment(r *Record, program string) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	d := &Deployment{Record: r, Store: fake.NewRowStore(), folder: folder, program: program}
	for tries := 0; ; tries++ {
		d.network, d.firstPort = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250)), 21000+50*rand.IntN(200)
		if err = d.checkPorts(); err == nil {
			break
		}
		if tries == maxTries {
			return nil, err
		}
	}
	if err := d.Serve(d.address(storeHost, storePort), d.Store); err != nil {
		return nil, err
	}
	return d, nil
}

// checkPorts returns an error if a port of the deployment is not free at the address of the store,
// as if a process listens there at all addresses.
func (d *Deployment) checkPorts() error {
	for port := range lastPort + 1 {
		l, err := net.Listen("tcp", d.address(storeHost, port))
		if err != nil {
			return fmt.Errorf("find free ports: %w", err)
		}
		_ = l.Close() // nothing was accepted
		c, err := net.ListenPacket("udp", d.address(storeHost, port))
		if err != nil {
			return fmt.Errorf("find free ports: %w", err)
		}
		_ = c.Close() // nothing was received
	}
	return nil
}

// address returns the address of a port of a host.
func (d *Deployment) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", d.network, host, d.firstPort+port)
}

// EntryAddress returns the address at which entry n, counted from 0, serves callers.
func (d *Deployment) EntryAddress(n int) string { return d.address(firstEntry+n, callersPort) }

// EngineAddress returns the address of engine n, counted from 0.
func (d *Deployment) EngineAddress(n int) string { return d.address(firstEngine+n, enginePort) }

// Serve serves HTTP at an address until Close.
func (d *Deployment) Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	return nil
}

// settings is the settings file of a process, with the bounds of the page DEPLOY.
const settings = `Node: %q
Role: %q
MachineClass: %q
Ip: %q
Zone: "a"
Region: "r"
Zones: {a: "r"}
Listen: {%s}
PortRange: [%d, %d]
Seeds: []
Bootstrap: true
Limits: {CpuShare: 0.3, Cores: 1, MemoryMb: 284, MaxFds: 4100, LinkMbps: %g, DiskMb: 0}
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
%sBounds:
  {SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckTimeoutMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,
  ConfigApplyMs: 2000, RollbackSlackMs: 250, MaxStretchMs: 5000, StrictRevoke: true, RevokeMs: 5000, RetryBudgetRatio: 0.2,
  BudgetWindowS: 10, BudgetSlack: 56, QuotaWindowS: 8, QuotaOvershoot: 0.1, QuotaSlack: 110000, FencingRequired: false,
  LeaseMs: 3000, ThawMs: 300, UsageWindowS: 5, UsageTolerance: 0.05, UsageLateS: 10, RecoveryS: 12, TransitMs: 120, RetryAfterS: 4.3}
Platform: {Address: %q, form: "table", WritesPerS: 400, ReadsPerS: 2000, TxMs: 5.0, PartWritesS: 200, RowBytes: 65536}
Cloud: {Address: %q, RatePerS: 50.0, Duties: ["usage"], DutyPerS: 50.0}
`

// StartEntry starts entry n, counted from 0, with a link of the given capacity in 10⁶ bits per
// second.
func (d *Deployment) StartEntry(n int, link float64) (*Process, error) {
	host := firstEntry + n
	listen := fmt.Sprintf("Front: %q, Ready: %q", d.address(host, callersPort), d.address(host, readyPort))
	return d.start("entry", fmt.Sprintf("front-%d", n), "front", host, link, listen, "")
}

// StartSidecar starts the sidecar of engine n, counted from 0.
func (d *Deployment) StartSidecar(n int) (*Process, error) {
	const link = 2000
	engine := fmt.Sprintf("app: %q\nService: %q\n", d.EngineAddress(n), Service)
	return d.start("sidecar", fmt.Sprintf("side-%d", n), "side", firstEngine+n, link, "", engine)
}

// start starts a process with the command of the deploy file.
func (d *Deployment) start(role, name, class string, host int, link float64, listen, engine string) (*Process, error) {
	store := d.address(storeHost, storePort)
	text := fmt.Sprintf(settings, name, role, class, fmt.Sprintf("%s%d", d.network, host), listen, d.firstPort, d.firstPort+portsBetween-1, link, engine, store, store)
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	p := &Process{Name: name, done: make(chan struct{})}
	p.command = exec.Command(d.program, role, "--metrics-port", strconv.Itoa(metricsPort))
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RADISHSPOKE_BOOT=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		_ = p.command.Wait() // its end is what is waited for
		close(p.done)
	}()
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	d.Record.Printf("process %s started", name)
	return p, nil
}

// AwaitReady waits until entry n is ready.
func (d *Deployment) AwaitReady(ctx context.Context, n int) error {
	for {
		r, err := http.Get("http://" + d.address(firstEntry+n, readyPort) + "/readiness")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for entry %d: %w", n, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Close ends all processes and servers and removes the folder, unless the variable KEEP is set.
func (d *Deployment) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var failed error
	for _, p := range d.processes {
		_ = p.command.Process.Kill() // fails if it has ended
		select {
		case <-p.done:
		case <-time.After(stopTime):
			failed = errors.Join(failed, fmt.Errorf("process %s does not end", p.Name))
		}
	}
	for _, s := range d.servers {
		_ = s.Close() // the listeners end with this process at the latest
	}
	if os.Getenv("KEEP") != "" {
		d.Record.Printf("logs are in %s", d.folder)
		return failed
	}
	return errors.Join(failed, os.RemoveAll(d.folder))
}
