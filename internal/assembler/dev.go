package assembler

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/coordination/authenticator"
	"radishspoke/internal/fake"
	"radishspoke/state/editor"
	"radishspoke/state/parser"
	"radishspoke/state/storer"
)

// Ports of a development deployment, on the loopback address.
const (
	devPlatformPort = 21000
	devCallerPort   = 8081
	devSessionPort  = 21301
	devOperatorPort = 21401
	devSidecarPort  = 21501
	devEntries      = 2
)

// Dev is a whole deployment in one process: a fake platform, the fake targets
// of an inventory, sidecars and entries. Make it with NewDev.
type Dev struct {
	Platform *fake.Platform
	Engines  map[string]*fake.Engine
	Ledgers  map[string]*fake.Ledger // by group
	Sidecars map[string]*Sidecar     // by target
	Entries  []*Entry

	// Secrets holds a key for each team.
	Secrets map[string]string

	env     Environment
	network func(process string) radishspoke.Network
	starts  uint64
	window  time.Duration
	servers []*http.Server
	group   sync.WaitGroup
}

// DevSettings change a development deployment.
type DevSettings struct {
	// Inventory is the INI text.
	Inventory []byte

	// Entries is the number of entries; 2 if zero.
	Entries int

	// Engine, if set, changes the settings of each fake engine.
	Engine func(*fake.EngineSettings)

	// LedgerDelay is how long a ledger takes to answer an order.
	LedgerDelay time.Duration

	// Network, if set, returns the network as one process sees it. The
	// names are those of the processes, "platform", and those of targets.
	Network func(process string) radishspoke.Network

	// UsageWindow is the length of a billing window; one minute if zero.
	UsageWindow time.Duration

	// ProbeInterval and ProbeTimeout are of every process; 1 s and 2 s if
	// zero.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
}

const (
	devLoadLag    = 200 * time.Millisecond
	devRoleChange = 3 * time.Second
)

// NewDev starts a deployment.
func NewDev(ctx context.Context, s DevSettings, env Environment) (*Dev, error) {
	v, err := parser.Inventory("inventory", s.Inventory)
	if err != nil {
		return nil, err
	}
	if s.Entries == 0 {
		s.Entries = devEntries
	}
	d := &Dev{
		Platform: fake.NewPlatform(), Engines: map[string]*fake.Engine{}, Ledgers: map[string]*fake.Ledger{},
		Sidecars: map[string]*Sidecar{}, Secrets: map[string]string{}, env: env, network: s.Network, window: s.UsageWindow,
	}
	if d.network == nil {
		d.network = func(string) radishspoke.Network { return env.Network }
	}
	if err := d.start(ctx, s, &v); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dev) start(ctx context.Context, s DevSettings, v *radishspoke.Inventory) error {
	if err := d.serve("platform", loopback(devPlatformPort), d.Platform.Handler()); err != nil {
		return err
	}
	if err := d.commit(ctx, s.Inventory, v); err != nil {
		return err
	}
	for i, t := range v.Targets {
		if err := d.startTarget(s, t, v); err != nil {
			return err
		}
		if err := d.StartSidecar(ctx, s, t, i); err != nil {
			return err
		}
	}
	for i := range s.Entries {
		if err := d.StartEntry(s, v.Zones[i%len(v.Zones)].Name, i); err != nil {
			return err
		}
	}
	return nil
}

func loopback(port int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String()
}

// serve runs an HTTP server for a fake.
func (d *Dev) serve(process, address string, h http.Handler) error {
	l, err := d.network(process).Listen(address)
	if err != nil {
		return err
	}
	d.serveOn(l, h)
	return nil
}

func (d *Dev) serveOn(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: operatorTimeout}
	d.servers = append(d.servers, srv)
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		_ = srv.Serve(l)
	}()
}

// commit stores the inventory with a key for each team.
func (d *Dev) commit(ctx context.Context, inventory []byte, v *radishspoke.Inventory) error {
	doc := radishspoke.Document{Inventory: string(inventory), Author: "dev", Note: "first version", Time: time.Now().UTC()}
	for _, t := range v.Teams {
		secret := authenticator.NewSecret()
		d.Secrets[t.Name] = secret
		doc.Keys = append(doc.Keys, radishspoke.Key{ID: t.Name + "-1", Team: t.Name, Hash: authenticator.Hash(secret)})
	}
	c := storer.New(d.network("operator"), loopback(devPlatformPort), storeTimeout)
	defer c.Close()
	if _, err := editor.New(c).Commit(ctx, 0, doc); err != nil {
		return fmt.Errorf("store first configuration: %w", err)
	}
	return nil
}

const storeTimeout = 2 * time.Second

// startTarget runs the fake behind a target.
func (d *Dev) startTarget(s DevSettings, t radishspoke.Target, v *radishspoke.Inventory) error {
	if t.Kind == radishspoke.ServiceTarget {
		l, ok := d.Ledgers[t.Group]
		if !ok {
			l = &fake.Ledger{Delay: s.LedgerDelay}
			d.Ledgers[t.Group] = l
		}
		return d.serve(t.Name, t.Address, l.Handler())
	}
	m, _ := v.Model(t.Model)
	es := fake.EngineSettings{
		Name: t.Name, Model: t.Model, Version: m.Version, Role: t.Role, Slots: t.Slots, Fencing: t.Fencing,
		LoadLag: devLoadLag, RoleChange: devRoleChange,
	}
	if s.Engine != nil {
		s.Engine(&es)
	}
	e := fake.NewEngine(es)
	d.Engines[t.Name] = e
	return d.serve(t.Name, t.Address, e.Handler())
}

// StartSidecar starts the sidecar of target number i.
func (d *Dev) StartSidecar(ctx context.Context, s DevSettings, t radishspoke.Target, i int) error {
	ps := d.settings(s, "sidecar-"+t.Name, t.Zone)
	ps.Sessions.Address, ps.Operators.Address, ps.Sidecar.Target = t.Sidecar, loopback(devSidecarPort+i), t.Name
	c, err := NewSidecar(ctx, ps, d.environment(ps.Process.Name, uint64(i)+1))
	if err != nil {
		return fmt.Errorf("start sidecar of %s: %w", t.Name, err)
	}
	d.Sidecars[t.Name] = c
	return nil
}

// StartEntry starts entry number i.
func (d *Dev) StartEntry(s DevSettings, zone string, i int) error {
	ps := d.settings(s, fmt.Sprintf("entry-%d", i+1), zone)
	ps.Sessions.Address, ps.Operators.Address = loopback(devSessionPort+i), loopback(devOperatorPort+i)
	ps.Callers.Address = loopback(devCallerPort + i)
	e, err := NewEntry(ps, d.environment(ps.Process.Name, uint64(i)+entrySeeds))
	if err != nil {
		return fmt.Errorf("start entry %d: %w", i+1, err)
	}
	d.Entries = append(d.Entries, e)
	return nil
}

const (
	entrySeeds = 1 << 20            // entries' seeds start above the sidecars'
	startShift = 24                 // a process started again gets another seed
	seedFactor = 0x9e3779b97f4a7c15 // spreads the deployment's seed over all bits
)

func (d *Dev) environment(process string, n uint64) Environment {
	env := d.env
	env.UsageWindow = d.window
	env.Network = d.network(process)
	d.starts++
	env.Seed = env.Seed*seedFactor + n + d.starts<<startShift
	return env
}

// settings returns what the processes of the deployment have in common.
func (d *Dev) settings(s DevSettings, name, zone string) parser.Settings {
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\n[platform]\naddress = %s\n[sessions]\naddress = %s\n[operators]\naddress = %s\n",
		name, zone, loopback(devPlatformPort), loopback(0), loopback(0))
	out, err := parser.ParseSettings(name, []byte(text), func(string) (string, bool) { return "", false })
	if err != nil {
		panic("assembler: " + err.Error()) // the text above is sound
	}
	if s.ProbeInterval > 0 {
		out.Sessions.ProbeInterval = s.ProbeInterval
	}
	if s.ProbeTimeout > 0 {
		out.Sessions.ProbeTimeout = s.ProbeTimeout
	}
	return out
}

// Teams returns the names of the teams, in order.
func (d *Dev) Teams() []string {
	out := make([]string, 0, len(d.Secrets))
	for t := range d.Secrets {
		out = append(out, t)
	}
	sort.Strings(out)
	return out
}

// Close ends the deployment at once.
func (d *Dev) Close() {
	for _, e := range d.Entries {
		e.Close()
	}
	for _, c := range d.Sidecars {
		c.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, e := range d.Engines {
		e.Close()
	}
	d.group.Wait()
}

// DevPlatform returns the address of the fake platform.
func DevPlatform() string { return loopback(devPlatformPort) }

// DevCallers returns the callers' address of entry number i.
func DevCallers(i int) string { return loopback(devCallerPort + i) }

// DevOperators returns the operators' address of entry number i.
func DevOperators(i int) string { return loopback(devOperatorPort + i) }
