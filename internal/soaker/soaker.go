package soaker

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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

// Settings of a soak.
type Settings struct {
	Program string // path of radishspoked
	Seed    uint64

	Length time.Duration // of the faults; 20 s if zero
	Quiet  time.Duration // before the first one; 3 s if zero: every process has started
	Pause  time.Duration // between two, in the mean; 600 ms if zero

	Entries   int // 4 if zero
	Engines   int // with a sidecar each; 4 if zero
	Consumers int // callers; 16 if zero

	// Out gets a line for each fault and finding.
	Out io.Writer
}

func (s *Settings) fill() {
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

// What the processes are told, and where they are.
const (
	hostName      = "shop.example"
	engineService = "llm"
	plainService  = "desk"
	plainTargets  = 2

	callersPort = 8360
	readyPort   = 8365
	storePort   = 9000
	targetPort  = 8181

	firstPort = 7500 // of the system's own traffic
	lastPort  = 7515

	zone        = "a"
	targetSlots = 16
	fastLink    = 125e6 // bytes/s
	slowLink    = 125e3

	leaseTime   = 3 * time.Second
	usageWindow = 5 * time.Second
	graceTime   = 8 * time.Second
	revokeTime  = 5 * time.Second
	recoverTime = 15 * time.Second
	startTime   = 10 * time.Second // from the start to the first caller, as on the platform

	pollInterval = 200 * time.Millisecond // of readiness
)

// Soak is one run. Make it with New.
type Soak struct {
	settings     Settings
	directory    string // of settings and logs
	network      string // the first three numbers of all addresses
	store        *fake.RowStore
	storeServer  *http.Server
	storeAddress string
	ledger       *ledger
	lag          *lag
	entries      []*host
	sidecars     []*host
	targets      []*target
	tasks        sync.WaitGroup

	mu      sync.Mutex
	version int64
	keys    []string
	without map[string]bool // keys that are withdrawn
}

// Report is what a soak saw.
type Report struct {
	Requests, Served, Refused int
	Findings                  []Finding
	Directory                 string // of the processes' logs
}

// New prepares a soak in an empty directory.
func New(s Settings, directory string) (*Soak, error) {
	s.fill()
	k := &Soak{
		settings: s, directory: directory, store: fake.NewRowStore(), ledger: newLedger(), lag: &lag{},
		keys: []string{"t1-k1", "t1-k2", "t2-k1", "t2-k2"}, without: map[string]bool{},
	}
	if err := k.build(); err != nil {
		k.close()
		return nil, err
	}
	return k, nil
}

// build starts the stand-ins and writes the settings.
func (k *Soak) build() error {
	// Networks of soaks that run at the same time differ.
	k.network = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+k.settings.Seed%250)
	k.storeAddress = k.address(1) + ":" + strconv.Itoa(storePort)
	l, err := net.Listen("tcp", k.storeAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	k.storeServer = &http.Server{Handler: k.store, ReadHeaderTimeout: startTime}
	go func() { _ = k.storeServer.Serve(l) }() // ends when it is closed
	k.publish()
	for i := range k.settings.Engines {
		role := radishspoke.PrefillRole
		if i >= (k.settings.Engines+1)/2 {
			role = radishspoke.DecodeRole
		}
		ip := k.address(100 + i)
		t, err := newTarget(k, ip, engineService, role, k.settings.Seed+uint64(i))
		if err != nil {
			return err
		}
		k.targets = append(k.targets, t)
		h, err := newHost(k, fmt.Sprint("side-", i+1), "sidecar", ip, t.address, fastLink)
		if err != nil {
			return err
		}
		k.sidecars = append(k.sidecars, h)
	}
	for i := range plainTargets {
		t, err := newTarget(k, k.address(150+i), plainService, "", k.settings.Seed+uint64(50+i))
		if err != nil {
			return err
		}
		k.targets = append(k.targets, t)
	}
	for i := range k.settings.Entries {
		link := fastLink
		if i%2 == 1 {
			link = slowLink // prompts go through sidecars
		}
		h, err := newHost(k, fmt.Sprint("front-", i+1), "entry", k.address(10+i), "", link)
		if err != nil {
			return err
		}
		k.entries = append(k.entries, h)
	}
	return nil
}

func (k *Soak) address(n int) string { return fmt.Sprintf("%s.%d", k.network, n) }

// publish writes a new configuration.
func (k *Soak) publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version++
	rule := func(name string, kind radishspoke.Repeatability, group string, attempts int, resumable bool) radishspoke.PathRule {
		return radishspoke.PathRule{
			Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond,
			Attempts: attempts, Resumable: resumable, Generation: group == engineService,
			Choices: []radishspoke.GroupShare{{Group: group, Weight: 1}},
		}
	}
	table := &radishspoke.RoutingTable{
		Version: k.version, KeysRequired: true,
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
	for _, key := range k.keys {
		if team, _ := teamOf(key + "-"); !k.without[key] {
			keys[team] = append(keys[team], key)
		}
	}
	for _, team := range []string{"t1", "t2"} {
		table.Teams = append(table.Teams, radishspoke.TeamRule{Name: team, PlainTokens: 200, Rate: 1e7, Burst: 1e7})
	}
	data, err := platform.EncodeConfiguration(table, keys)
	if err != nil {
		k.ledger.find("soak", "", "%v", err)
		return
	}
	k.store.Put(platform.OperatorTable, platform.ConfigurationKey, data)
}

// withdraw takes a key out of the configuration, or puts it back.
func (k *Soak) withdraw(key string, withdrawn bool) {
	if !withdrawn {
		k.ledger.withdraw(key, false)
	}
	k.mu.Lock()
	k.without[key] = withdrawn
	k.mu.Unlock()
	k.publish()
	if withdrawn {
		k.ledger.withdraw(key, true)
	}
}

// Run runs the soak. The error says that it could not be run; promises that were
// not kept are in the report.
func (k *Soak) Run() (*Report, error) {
	defer k.close()
	for _, h := range append(append([]*host(nil), k.sidecars...), k.entries...) {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { k.lag.run(stop) })
	for _, h := range k.entries {
		others.Go(func() { k.poll(h, stop) })
	}
	k.await(startTime)
	quit := make(chan struct{})
	var consumers sync.WaitGroup
	for i := range k.settings.Consumers {
		c := &consumer{soak: k, name: fmt.Sprint("c", i), random: rand.New(rand.NewPCG(k.settings.Seed, uint64(100+i)))}
		consumers.Go(func() { c.run(quit) })
	}
	k.inject()
	k.recover()
	close(quit)
	consumers.Wait()
	for _, h := range append(append([]*host(nil), k.entries...), k.sidecars...) {
		h.signal(syscall.SIGTERM)
	}
	for _, h := range append(append([]*host(nil), k.entries...), k.sidecars...) {
		h.wait()
	}
	close(stop)
	others.Wait()
	k.checkUsage()
	r := &Report{Findings: k.ledger.settle(), Directory: k.directory}
	r.Requests, r.Served, r.Refused = len(k.ledger.asked), k.ledger.served, k.ledger.refused
	for _, f := range r.Findings {
		k.print("FOUND %s", f)
	}
	return r, nil
}

// await waits until every entry is ready, at most for d.
func (k *Soak) await(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval / 4) {
		n := 0
		for _, h := range k.entries {
			if h.isReady() {
				n++
			}
		}
		if n == len(k.entries) {
			return
		}
	}
}

// poll asks an entry for its readiness until stop is closed.
func (k *Soak) poll(h *host, stop <-chan struct{}) {
	client := &http.Client{Timeout: pollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
			h.poll(client)
		}
	}
}

// inject carries out the plan.
func (k *Soak) inject() {
	steps := k.plan(rand.New(rand.NewPCG(k.settings.Seed, 1)))
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	began := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.at)))
		k.print("%7.3f s  %s", time.Since(began).Seconds(), s.what)
		s.do()
	}
	time.Sleep(time.Until(began.Add(k.settings.Length)))
	k.tasks.Wait() // processes that are being restarted
	k.print("%7.3f s  faults are over", time.Since(began).Seconds())
}

// recover asks every entry for every kind until all are served.
func (k *Soak) recover() {
	end := time.Now().Add(recoverTime)
	for _, h := range k.entries {
		c := &consumer{soak: k, name: "r" + h.name, random: rand.New(rand.NewPCG(k.settings.Seed, 2))}
		for _, n := range kinds {
			status, tries := 0, 0
			for ; status != http.StatusOK && time.Now().Before(end); tries++ {
				if c.conn == nil && !c.connectTo(h) {
					time.Sleep(pollInterval)
					continue
				}
				if status = c.ask(n); status != http.StatusOK {
					time.Sleep(pollInterval / 2)
				}
			}
			if status != http.StatusOK {
				k.ledger.find("recover", "", "entry %s does not serve %s %v after the faults: status %d at the last of %d tries", h.name, n.path, recoverTime, status, tries)
			}
		}
		c.drop()
	}
}

// checkUsage compares the reports of each window.
func (k *Soak) checkUsage() {
	seen := map[int64]string{}
	for _, u := range k.store.Usage() {
		data, err := json.Marshal(u.Counts) // sorts by team
		if err != nil {
			k.ledger.find("soak", "", "usage not encoded: %v", err)
			return
		}
		if old, ok := seen[u.Window]; ok && old != string(data) {
			k.ledger.find("one", "", "usage of window %d was reported as %s and as %s", u.Window, old, data)
		}
		seen[u.Window] = string(data)
	}
}

func (k *Soak) print(format string, args ...any) {
	if k.settings.Out != nil {
		_, _ = fmt.Fprintf(k.settings.Out, format+"\n", args...) // nobody to tell
	}
}

// close ends what is left.
func (k *Soak) close() {
	for _, h := range append(append([]*host(nil), k.entries...), k.sidecars...) {
		h.signal(syscall.SIGKILL)
		h.store.close()
	}
	for _, t := range k.targets {
		t.close()
		_ = t.backend.Close()
	}
	if k.storeServer != nil {
		_ = k.storeServer.Close()
	}
}
