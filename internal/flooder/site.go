package flooder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/platform"
)

const (
	hostName  = "shop.example" // in the URLs of all requests
	service   = "desk"         // group of the target
	key       = "t1-k1"
	zone      = "a"
	openPath  = "/order/new"  // answered with a short body
	longPath  = "/order/long" // answered with longAnswer bytes
	workPath  = "/order/work" // answered after workTime
	relayPath = "/relay"

	longAnswer = 4 << 20 // bytes
	workTime   = 50 * time.Millisecond

	callersPort = 8360
	readyPort   = 8365
	storePort   = 9000
	targetPort  = 8181
	metricsPort = 9464
	firstPort   = 7500 // first and last port for traffic between the processes
	lastPort    = 7515

	entryHost   = 10 // last numbers of the IP addresses
	sidecarHost = 20
	serverHost  = 30

	startTimeout  = 10 * time.Second
	answerTimeout = 15 * time.Second // in which an ordinary request must be answered once
	requestTime   = 2 * time.Second  // limits one try
	retryInterval = 50 * time.Millisecond
)

// Settings holds the parameters of a Site.
type Settings struct {
	Program   string // path of radishspoked
	Directory string // for settings and logs

	Memory      int64 // stated to the processes, in bytes
	Descriptors int   // stated to the processes

	// Network is the third number of the IP addresses, by which sites at the same time
	// differ.
	Network int
}

// Site is a store, a target, an entry and a sidecar on loopback addresses. Create it with New.
type Site struct {
	Entry, Sidecar *Process
	Target         *fake.Target // of the entry, and engine of the sidecar

	settings Settings
	store    *http.Server
	target   net.Listener
}

// Process is a running program.
type Process struct {
	IP      string
	command *exec.Cmd
	exited  chan struct{}
}

// New starts a Site and waits until its entry serves a request.
func New(s Settings) (*Site, error) {
	site := &Site{settings: s}
	if err := site.start(); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

func (s *Site) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, s.settings.Network, n)
}

func (s *Site) start() error {
	rows := fake.NewRowStore()
	l, err := net.Listen("tcp", address(s.ip(serverHost), storePort))
	if err != nil {
		return errors.Wrap(err, "listen for store")
	}
	s.store = &http.Server{Handler: rows, ReadHeaderTimeout: startTimeout}
	go func() { _ = s.store.Serve(l) }() // ends when it is closed
	if s.target, err = net.Listen("tcp", address(s.ip(serverHost), targetPort)); err != nil {
		return errors.Wrap(err, "listen for target")
	}
	s.Target = fake.NewTarget("desk-1", respond)
	go s.Target.Serve(s.target)
	if err := s.putRows(rows); err != nil {
		return err
	}
	if s.Entry, err = s.startProcess("entry", s.ip(entryHost), ""); err != nil {
		return err
	}
	if s.Sidecar, err = s.startProcess("sidecar", s.ip(sidecarHost), address(s.ip(serverHost), targetPort)); err != nil {
		return err
	}
	for _, p := range Ports(s) {
		if err := Ask(p, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// respond returns the answers of the target.
func respond(r *http.Request, _ []byte) *fake.TargetResponse {
	body := "ok"
	switch r.URL.Path {
	case longPath:
		body = strings.Repeat("x", longAnswer)
	case workPath:
		time.Sleep(workTime)
	}
	return &fake.TargetResponse{Status: http.StatusOK, Header: platform.EncodeAnswer(platform.AnswerHeader{Stamped: true}, "desk-1"), Body: body}
}

// putRows writes the configuration and the row of the target.
func (s *Site) putRows(rows *fake.RowStore) error {
	table := &radishspoke.RoutingTable{
		Version: 1, KeysRequired: true,
		Limits: radishspoke.CallerLimits{HeaderBytes: headBytes, BodyBytes: bodyBytes, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second},
		Rules: []radishspoke.PathRule{{
			Name: "order", Host: hostName, Prefix: "/order/", Kind: radishspoke.Safe, Timeout: 20 * time.Second, Objective: time.Second, Attempts: 2,
			Choices: []radishspoke.GroupShare{{Group: service, Weight: 1}},
		}},
		Groups: map[string]radishspoke.Group{service: {Name: service}},
		Teams:  []radishspoke.TeamRule{{Name: "t1", PlainTokens: 1, Rate: 1e7, Burst: 1e7}},
	}
	data, err := platform.EncodeConfiguration(table, map[string][]string{"t1": {key}})
	if err != nil {
		return err
	}
	rows.Put(platform.OperatorTable, platform.ConfigurationKey, data)
	data, err = platform.EncodeInstance(radishspoke.Instance{
		Group: service, Address: address(s.ip(serverHost), targetPort), Zone: zone, Slots: 1000, StartTime: time.Now(),
	}, 1)
	if err != nil {
		return err
	}
	rows.Put(platform.InstanceTable, "desk-1", data)
	return nil
}

// startProcess starts radishspoked in a role at an IP address.
func (s *Site) startProcess(role, ip, engine string) (*Process, error) {
	settings := platform.Settings{
		Name: role, Zone: zone, IP: ip, FirstPort: firstPort, LastPort: lastPort, First: true, Engine: engine,
		Store: address(s.ip(serverHost), storePort), Duties: address(s.ip(serverHost), storePort),
		Memory: s.settings.Memory, Descriptors: s.settings.Descriptors,
		Bounds: platform.Bounds{
			Grace: 8 * time.Second, Revoke: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 56, Lease: 3 * time.Second, UsageWindow: 5 * time.Second,
		},
	}
	if engine == "" {
		settings.Callers, settings.Ready = address(ip, callersPort), address(ip, readyPort)
	}
	data, err := platform.EncodeSettings(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.settings.Directory, role)
	if err := os.WriteFile(path+".yaml", data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings file")
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	p := &Process{IP: ip, exited: make(chan struct{})}
	p.command = exec.Command(s.settings.Program, role, "--metrics-port", strconv.Itoa(metricsPort))
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path+".yaml")
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+role)
	}
	go func() {
		_ = p.command.Wait() // the end itself is what matters
		close(p.exited)
	}()
	return p, nil
}

// Close kills the processes and closes the store and the target.
func (s *Site) Close() {
	for _, p := range []*Process{s.Entry, s.Sidecar} {
		if p != nil {
			_ = p.command.Process.Signal(syscall.SIGKILL) // fails if it has ended
			<-p.exited
		}
	}
	if s.store != nil {
		_ = s.store.Close()
	}
	if s.target != nil {
		_ = s.target.Close()
	}
}

// Port is a port of a process, with an ordinary request to it.
type Port struct {
	Process *Process
	Address string
	Method  string
	Path    string
}

// Ports returns the ports of a site: of the callers, of the readiness probe, of the peers and
// of the metrics of the entry, and of the sidecar's relay.
func Ports(s *Site) map[string]Port {
	at := func(p *Process, port int, path string) Port {
		return Port{Process: p, Address: address(p.IP, port), Method: http.MethodGet, Path: path}
	}
	callers := at(s.Entry, callersPort, openPath)
	callers.Method = http.MethodPost
	return map[string]Port{
		"callers": callers,
		"ready":   at(s.Entry, readyPort, platform.ReadyPath),
		"peers":   at(s.Entry, firstPort, "/known?version=0&digest=0"),
		"metrics": at(s.Entry, metricsPort, "/metrics"),
		"relay":   at(s.Sidecar, firstPort+2, relayPath),
	}
}

// Ask sends ordinary requests to a port until one is answered with status 200. It returns an
// error if none is within the time limit.
func Ask(p Port, limit time.Duration) error {
	client := &http.Client{Timeout: requestTime, Transport: &http.Transport{DisableKeepAlives: true}}
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(retryInterval) {
		if err = ask(client, p); err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "ordinary request is not answered")
}

func ask(client *http.Client, p Port) error {
	r, err := http.NewRequest(p.Method, "http://"+p.Address+p.Path, strings.NewReader(""))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	r.Host, r.Header = hostName, platform.EncodeRequest(platform.CallerHeader{ID: "ordinary", Secret: key})
	a, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", a.StatusCode, text)
	}
	return nil
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
