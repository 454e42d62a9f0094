package soaker

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/platform"
)

// Settings are the settings of a soak test.
type Settings struct {
	Program string // path of the radishspoked binary
	Seed    uint64 // of faults, requests and faulty responses

	Length time.Duration // of the phase in which faults are injected; 20 s if zero
	Quiet  time.Duration // time before the first fault, in which all processes start; 3 s if zero
	Pause  time.Duration // about the mean time between two faults; 600 ms if zero

	Entries   int // number of entries; 4 if zero
	Engines   int // number of engines, each with a sidecar; 4 if zero
	Consumers int // number of callers; 16 if zero

	// Out receives a line for each fault and each finding. It may be nil.
	Out io.Writer
}

func (s *Settings) setDefaults() {
	if s.Length == 0 {
		s.Length = 20 * time.Second
	}
	if s.Quiet == 0 {
		s.Quiet = 3 * time.Second
	}
	if s.Pause == 0 {
		s.Pause = 600 * time.Millisecond
	}
	if s.Entries == 0 {
		s.Entries = 4
	}
	if s.Engines == 0 {
		s.Engines = 4
	}
	if s.Consumers == 0 {
		s.Consumers = 16
	}
}

// Names, ports and limits of the processes.
const (
	hostName      = "shop.example" // in the URLs of all requests
	engineService = "llm"          // group of the engines
	plainService  = "desk"         // group of the targets that are not engines
	plainTargets  = 2

	callersPort = 8360
	readyPort   = 8365
	storePort   = 9000
	dutiesPort  = 9001 // of the proxy to the duties of the platform, which the store serves too
	targetPort  = 8181 // of the proxy of a target
	backendPort = 8182 // of the target itself

	firstPort = 7500 // first and last port for traffic between the processes
	lastPort  = 7515

	zone        = "a" // of all processes
	targetSlots = 16
	fastLink    = 125e6 // bytes/s, 1 Gbit/s
	slowLink    = 125e3 // bytes/s, 1 Mbit/s

	leaseTime    = 3 * time.Second
	usageWindow  = 5 * time.Second
	graceTime    = 8 * time.Second  // maximum time from SIGTERM until the process exits
	revokeTime   = 5 * time.Second  // maximum time until a withdrawn key is rejected
	recoverTime  = 15 * time.Second // maximum time from the last fault until every entry serves every kind of request
	startTimeout = 10 * time.Second // maximum time from the start of the processes to the first caller, as on the platform

	pollInterval = 200 * time.Millisecond // of readiness probes
)

// Soak is one run of a soak test. Create it with New.
type Soak struct {
	settings     Settings
	directory    string // of settings files and logs
	ipPrefix     string // first three numbers of all IP addresses
	store        *fake.RowStore
	storeServer  *http.Server
	storeAddress string
	recorder     *recorder
	lag          *lagMonitor
	badPart      *crashCheck
	badRequest   *crashCheck
	limit        limitCheck
	release      release
	stale        staleCheck
	evacuation   evacuationCheck
	departures   departureCheck
	entries      []*process
	sidecars     []*process
	targets      []*target
	tasks        sync.WaitGroup // restarts of processes

	mu        sync.Mutex
	version   int64           // of the configuration
	keys      []string        // keys that the main plan withdraws, also withdrawn ones
	briefKeys []string        // keys that are withdrawn only beside silences, also withdrawn ones
	withdrawn map[string]bool // by key
}

// Report is the result of a soak test. Requests is the number of requests sent,
// Served the number of those that got a response with status 200, even if its body
// was incomplete, and Refused the number of those that an entry reported as not run, by status.
// RefusedLate is that of the refused ones that a target had received.
// Resumed is the number of broken streams that went on when their callers asked for it, and
// NotResumed that of those that did not. Resumptions is the number of requests to resume a stream by
// status, which is 0 if there was no response, and Refusals that of those that failed, by status and
// code. Halted is the number of answers of which a half had been
// sent when their target fell silent. Kept is the number of whole answers whose key was
// withdrawn after their request had been sent. Elsewhere is the number of requests that targets in
// other zones got while one had to be evacuated. Left is the number of requests whose callers left,
// and LeftBefore that of calls for them that reached a target after that. Delayed is the number of requests and exits that were late and
// are no findings, because the process or this program had to wait for a processor.
type Report struct {
	Requests, Served    int
	Refused             map[int]int
	RefusedLate         int
	Resumed, NotResumed int
	Resumptions         map[int]int
	Refusals            map[string]int
	Halted, Kept        int
	Elsewhere           int
	Left, LeftBefore    int
	Delayed             int
	Findings            []Finding
	Directory           string // of the logs of the processes
}

// New prepares a soak test in an empty directory. It starts the store, the targets
// and the proxies, but no process.
func New(settings Settings, directory string) (*Soak, error) {
	settings.setDefaults()
	s := &Soak{
		settings: settings, directory: directory, store: fake.NewRowStore(), recorder: newRecorder(), lag: &lagMonitor{},
		badPart:    &crashCheck{what: "part", allowed: 5, rate: badPartRate},
		badRequest: &crashCheck{what: "body", allowed: 3, rate: badRate},
		keys:       []string{"t1-k1", "t1-k2", "t2-k1", "t2-k2"}, briefKeys: []string{"t1-k3", "t2-k3"}, withdrawn: map[string]bool{},
	}
	if err := s.setUp(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// setUp starts the store, the targets and the proxies, and writes the
// configuration and the settings files.
func (s *Soak) setUp() error {
	// The addresses depend on the process ID and the seed, so that soak tests
	// can run at the same time.
	s.ipPrefix = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+s.settings.Seed%250)
	s.storeAddress = s.ip(1) + ":" + strconv.Itoa(storePort)
	l, err := net.Listen("tcp", s.storeAddress)
	if err != nil {
		return errors.Wrap(err, "listen for store")
	}
	s.storeServer = &http.Server{Handler: s.store, ReadHeaderTimeout: startTimeout}
	go func() { _ = s.storeServer.Serve(l) }() // ends when it is closed
	s.publishConfiguration()
	for i := range s.settings.Engines {
		role := radishspoke.PrefillRole
		if i >= (s.settings.Engines+1)/2 {
			role = radishspoke.DecodeRole
		}
		ip := s.ip(100 + i)
		t, err := newTarget(s, ip, engineService, zoneOf(i), role, s.settings.Seed+uint64(i))
		if err != nil {
			return err
		}
		s.targets = append(s.targets, t)
		p, err := newProcess(s, fmt.Sprint("side-", i+1), "sidecar", ip, t.address, fastLink)
		if err != nil {
			return err
		}
		s.sidecars = append(s.sidecars, p)
	}
	for i := range plainTargets {
		t, err := newTarget(s, s.ip(150+i), plainService, zoneOf(i), "", s.settings.Seed+uint64(50+i))
		if err != nil {
			return err
		}
		s.targets = append(s.targets, t)
	}
	for i := range s.settings.Entries {
		link := fastLink
		if i%2 == 1 {
			link = slowLink // an entry with a slow link sends prompts by way of sidecars
		}
		p, err := newProcess(s, fmt.Sprint("front-", i+1), "entry", s.ip(10+i), "", link)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	return nil
}

// ip returns the IP address whose last number is n.
func (s *Soak) ip(n int) string { return fmt.Sprintf("%s.%d", s.ipPrefix, n) }

// publishConfiguration writes a new version of the configuration to the store. It
// leaves out the withdrawn keys.
func (s *Soak) publishConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	// rule returns the rule for the paths that begin with /name/.
	rule := func(name string, kind radishspoke.Repeatability, group string, attempts int, resumable bool) radishspoke.PathRule {
		return radishspoke.PathRule{
			Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond,
			Attempts: attempts, Resumable: resumable, Generation: group == engineService,
			Choices: []radishspoke.GroupShare{{Group: group, Weight: 1}},
		}
	}
	table := &radishspoke.RoutingTable{
		Version: s.version, KeysRequired: true,
		Rules: []radishspoke.PathRule{
			rule("order", radishspoke.Unsafe, plainService, 1, false), rule("stock", radishspoke.Safe, plainService, 2, false),
			rule("phone", radishspoke.Streaming, engineService, 2, true), rule("fit", radishspoke.Streaming, engineService, 1, false),
			rule("form", radishspoke.Streaming, engineService, 2, true),
		},
		Groups: map[string]radishspoke.Group{
			plainService:  {Name: plainService},
			engineService: {Name: engineService, Engine: &radishspoke.EngineLimits{Slots: targetSlots, SwitchTime: 3 * time.Second}},
		},
	}
	keys := map[string][]string{}
	for _, key := range slices.Concat(s.keys, s.briefKeys) {
		// A key and a hyphen are the start of a request ID.
		if team, _ := teamOf(key + "-"); !s.withdrawn[key] {
			keys[team] = append(keys[team], key)
		}
	}
	for _, team := range []string{"t1", "t2"} {
		table.Teams = append(table.Teams, radishspoke.TeamRule{Name: team, PlainTokens: 200, Rate: 1e7, Burst: 1e7})
	}
	data, err := platform.EncodeConfiguration(table, keys)
	if err != nil {
		s.recorder.addFinding("soak", "", "%v", err)
		return
	}
	s.store.Put(platform.OperatorTable, platform.ConfigurationKey, data)
}

// drawKey draws one of all keys, also withdrawn ones.
func (s *Soak) drawKey(random *rand.Rand) string {
	n := random.IntN(len(s.keys) + len(s.briefKeys))
	if n < len(s.keys) {
		return s.keys[n]
	}
	return s.briefKeys[n-len(s.keys)]
}

// setWithdrawn removes a key from the configuration, or adds it again. The
// revocation time begins when the configuration without the key has been written.
func (s *Soak) setWithdrawn(key string, withdrawn bool) {
	if withdrawn {
		s.stale.setValid(key, false)
	} else {
		s.recorder.setWithdrawn(key, false)
	}
	s.mu.Lock()
	s.withdrawn[key] = withdrawn
	s.mu.Unlock()
	s.publishConfiguration()
	if withdrawn {
		s.recorder.setWithdrawn(key, true)
	} else {
		s.stale.setValid(key, true)
	}
}

// Run runs the soak test. It returns an error if a process could not be started;
// failed checks are findings in the report.
func (s *Soak) Run() (*Report, error) {
	defer s.close()
	for _, p := range append(append([]*process(nil), s.sidecars...), s.entries...) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	stopMonitors := make(chan struct{})
	var monitors sync.WaitGroup
	monitors.Go(func() { s.lag.run(stopMonitors) })
	for _, p := range s.entries {
		monitors.Go(func() { s.pollReadiness(p, stopMonitors) })
	}
	for _, p := range append(append([]*process(nil), s.entries...), s.sidecars...) {
		monitors.Go(func() { p.monitorDelays(stopMonitors) })
	}
	s.awaitReady(startTimeout)
	stopCallers := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.settings.Consumers + leavers {
		c := newCaller(s, fmt.Sprint("c", i), uint64(100+i))
		c.leaves = i >= s.settings.Consumers
		callers.Go(func() { c.run(stopCallers) })
	}
	s.injectFaults()
	s.checkRecovery()
	close(stopCallers)
	callers.Wait()
	for _, p := range append(append([]*process(nil), s.entries...), s.sidecars...) {
		p.signal(syscall.SIGTERM)
	}
	var exits sync.WaitGroup
	for _, p := range append(append([]*process(nil), s.entries...), s.sidecars...) {
		exits.Go(p.wait)
	}
	exits.Wait()
	close(stopMonitors)
	monitors.Wait()
	s.checkUsage()
	s.checkFences()
	s.checkTurns()
	r := &Report{Findings: slices.Concat(s.recorder.evaluate(), s.badPart.evaluate(), s.badRequest.evaluate(), s.limit.evaluate()), Directory: s.directory}
	r.Requests, r.Served, r.Refused, r.RefusedLate = len(s.recorder.requests), s.recorder.served, s.recorder.refused, s.recorder.refusedLate
	r.Resumptions, r.Kept = s.recorder.resumptions, s.recorder.kept
	r.Resumed, r.NotResumed = int(s.release.resumed.Load()), int(s.release.refused.Load())
	r.Refusals = s.release.refusalCounts()
	r.Delayed, r.Elsewhere = s.recorder.delayed, s.evacuation.elsewhere
	r.Left, r.LeftBefore = s.departures.counts()
	for _, t := range s.targets {
		r.Halted += int(t.silence.halted.Load())
	}
	for _, f := range r.Findings {
		s.print("FOUND %s", f)
	}
	return r, nil
}

// awaitReady waits until every entry is ready, or d has passed.
func (s *Soak) awaitReady(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval / 4) {
		ready := 0
		for _, p := range s.entries {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(s.entries) {
			return
		}
	}
}

// pollReadiness probes the readiness of an entry until stop is closed.
func (s *Soak) pollReadiness(p *process, stop <-chan struct{}) {
	client := &http.Client{Timeout: pollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
			p.pollReadiness(client)
		}
	}
}

// injectFaults runs the events of the plan at their times. It returns when the run
// has ended and all restarts of processes are complete.
func (s *Soak) injectFaults() {
	events := s.plan(rand.New(rand.NewPCG(s.settings.Seed, 1)))
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	began := time.Now()
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.at)))
		s.print("%7.3f s  %s", time.Since(began).Seconds(), e.description)
		e.apply()
	}
	time.Sleep(time.Until(began.Add(s.settings.Length)))
	s.tasks.Wait()
	s.print("%7.3f s  faults are over", time.Since(began).Seconds())
}

// checkRecovery sends requests of every kind to every entry until each kind is
// served. A kind that is not served within recoverTime is a finding.
func (s *Soak) checkRecovery() {
	end := time.Now().Add(recoverTime)
	var checks sync.WaitGroup
	for _, p := range s.entries {
		checks.Go(func() { s.checkRecoveryOf(p, end) })
	}
	checks.Wait()
}

// checkRecoveryOf sends requests to an entry, in turn of each kind that it has not served yet,
// until all are served or the time end.
func (s *Soak) checkRecoveryOf(p *process, end time.Time) {
	c := newCaller(s, "r"+p.name, 2)
	defer c.disconnect()
	statuses := make([]int, len(kinds)) // of the last request of each kind
	attempts := make([]int, len(kinds))
	for !allServed(statuses) && time.Now().Before(end) {
		for i, k := range kinds {
			if statuses[i] == http.StatusOK || !time.Now().Before(end) {
				continue
			}
			attempts[i]++
			if c.conn == nil && !c.connectTo(p) {
				time.Sleep(pollInterval)
				continue
			}
			if statuses[i] = c.do(k); statuses[i] != http.StatusOK {
				time.Sleep(pollInterval / 2)
			}
		}
	}
	for i, k := range kinds {
		if statuses[i] != http.StatusOK {
			s.recorder.addFinding("recover", "", "entry %s does not serve %s %v after the last fault: status %d at the last of %d attempts", p.name, k.path, recoverTime, statuses[i], attempts[i])
		}
	}
}

// allServed reports whether all statuses are 200.
func allServed(statuses []int) bool {
	return !slices.ContainsFunc(statuses, func(s int) bool { return s != http.StatusOK })
}

// checkUsage checks that all usage reports of a window have the same counts.
func (s *Soak) checkUsage() {
	reported := map[int64]string{} // encoded counts, by window
	for _, u := range s.store.Usage() {
		data, err := json.Marshal(u.Counts) // sorted by team
		if err != nil {
			s.recorder.addFinding("soak", "", "usage could not be encoded: %v", err)
			return
		}
		if old, ok := reported[u.Window]; ok && old != string(data) {
			s.recorder.addFinding("one", "", "usage of window %d was reported as %s and as %s", u.Window, old, data)
		}
		reported[u.Window] = string(data)
	}
}

// print writes a line to the output, if there is one.
func (s *Soak) print(format string, args ...any) {
	if s.settings.Out != nil {
		_, _ = fmt.Fprintf(s.settings.Out, format+"\n", args...) // the output is informational
	}
}

// close kills the processes that still run and stops the targets, the proxies and
// the store.
func (s *Soak) close() {
	for _, p := range append(append([]*process(nil), s.entries...), s.sidecars...) {
		p.signal(syscall.SIGKILL)
		p.store.close()
		p.duties.close()
	}
	for _, t := range s.targets {
		t.close()
		t.restarts.Lock()
		_ = t.backend.Close()
		t.restarts.Unlock()
	}
	if s.storeServer != nil {
		_ = s.storeServer.Close()
	}
}
