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

// Dev is a complete deployment in one process: a fake platform, fakes of the
// targets in an inventory, sidecars and entries. Create one with NewDev.
type Dev struct {
	Platform *fake.Platform
	Engines  map[string]*fake.Engine // by target
	Ledgers  map[string]*fake.Ledger // by group
	Sidecars map[string]*Sidecar     // by target
	Entries  []*Entry

	// Secrets holds the secret of one key for each team, by team.
	Secrets map[string]string

	env           Environment
	network       func(process string) radishspoke.Network
	processStarts uint64
	usageWindow   time.Duration
	servers       []*http.Server
	tasks         sync.WaitGroup
}

// DevSettings are the settings of a development deployment.
type DevSettings struct {
	// Inventory is the text of the inventory in INI format.
	Inventory []byte

	// Entries is the number of entries; 2 if zero.
	Entries int

	// Engine is called with the settings of each fake engine and may modify
	// them. It may be nil.
	Engine func(*fake.EngineSettings)

	// LedgerDelay is the time that a ledger takes to respond to an order.
	LedgerDelay time.Duration

	// Network returns the network of one process. It is called with the names
	// of processes and targets, "platform" and "operator". If it is nil, all
	// of them use the network of the environment.
	Network func(process string) radishspoke.Network

	// UsageWindow is the length of a billing window. If it is zero,
	// radishspoke.UsageWindowLength, one minute, is used.
	UsageWindow time.Duration

	// ProbeInterval and ProbeTimeout are the session settings of every
	// process. If they are zero, 1 s and 2 s are used.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
}

const (
	devLoadLag    = 200 * time.Millisecond // age of the load that a fake engine reports
	devRoleChange = 3 * time.Second        // time that a fake engine takes to carry out an order
)

// NewDev starts a development deployment. It returns an error if the inventory
// is not valid, if the first configuration cannot be stored, or if a process
// cannot be started.
func NewDev(ctx context.Context, s DevSettings, env Environment) (*Dev, error) {
	v, err := parser.ParseInventory("inventory", s.Inventory)
	if err != nil {
		return nil, err
	}
	if s.Entries == 0 {
		s.Entries = devEntries
	}
	d := &Dev{
		Platform: fake.NewPlatform(), Engines: map[string]*fake.Engine{}, Ledgers: map[string]*fake.Ledger{},
		Sidecars: map[string]*Sidecar{}, Secrets: map[string]string{}, env: env, network: s.Network, usageWindow: s.UsageWindow,
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
	if err := d.serveFake("platform", loopback(devPlatformPort), d.Platform.Handler()); err != nil {
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

// serveFake starts an HTTP server for a fake at the given address, on the
// network of the given process.
func (d *Dev) serveFake(process, address string, h http.Handler) error {
	l, err := d.network(process).Listen(address)
	if err != nil {
		return err
	}
	d.serveOn(l, h)
	return nil
}

func (d *Dev) serveOn(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: operatorHeaderTimeout}
	d.servers = append(d.servers, srv)
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		_ = srv.Serve(l)
	}()
}

// commit stores the first configuration, which has the inventory and a new key
// for each team.
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

// startTarget starts the fake engine or ledger of a target. Targets of the same
// group share a ledger.
func (d *Dev) startTarget(s DevSettings, t radishspoke.Target, v *radishspoke.Inventory) error {
	if t.Kind == radishspoke.ServiceTarget {
		l, ok := d.Ledgers[t.Group]
		if !ok {
			l = &fake.Ledger{Delay: s.LedgerDelay}
			d.Ledgers[t.Group] = l
		}
		return d.serveFake(t.Name, t.Address, l.Handler())
	}
	m, _ := v.Model(t.Model)
	settings := fake.EngineSettings{
		Name: t.Name, Model: t.Model, Version: m.Version, Role: t.Role, Slots: t.Slots, Fencing: t.Fencing,
		LoadLag: devLoadLag, RoleChange: devRoleChange,
	}
	if s.Engine != nil {
		s.Engine(&settings)
	}
	e := fake.NewEngine(settings)
	d.Engines[t.Name] = e
	return d.serveFake(t.Name, t.Address, e.Handler())
}

// StartSidecar starts the sidecar of the target t, which is number i of the
// inventory, counted from 0.
func (d *Dev) StartSidecar(ctx context.Context, s DevSettings, t radishspoke.Target, i int) error {
	processSettings := d.settings(s, "sidecar-"+t.Name, t.Zone)
	processSettings.Sessions.Address, processSettings.Operators.Address, processSettings.Sidecar.Target = t.Sidecar, loopback(devSidecarPort+i), t.Name
	c, err := NewSidecar(ctx, processSettings, d.environment(processSettings.Process.Name, uint64(i)+1))
	if err != nil {
		return fmt.Errorf("start sidecar of %s: %w", t.Name, err)
	}
	d.Sidecars[t.Name] = c
	return nil
}

// StartEntry starts entry number i, counted from 0, in a zone.
func (d *Dev) StartEntry(s DevSettings, zone string, i int) error {
	processSettings := d.settings(s, fmt.Sprintf("entry-%d", i+1), zone)
	processSettings.Sessions.Address, processSettings.Operators.Address = loopback(devSessionPort+i), loopback(devOperatorPort+i)
	processSettings.Callers.Address = loopback(devCallerPort + i)
	e, err := NewEntry(processSettings, d.environment(processSettings.Process.Name, uint64(i)+entrySeedBase))
	if err != nil {
		return fmt.Errorf("start entry %d: %w", i+1, err)
	}
	d.Entries = append(d.Entries, e)
	return nil
}

const (
	entrySeedBase    = 1 << 20            // seeds of entries are greater than those of sidecars
	restartSeedShift = 24                 // position of the start counter in a seed; the counter gives a restarted process a new seed
	seedFactor       = 0x9e3779b97f4a7c15 // distributes the seed of the deployment over all bits
)

func (d *Dev) environment(process string, n uint64) Environment {
	env := d.env
	env.UsageWindow = d.usageWindow
	env.Network = d.network(process)
	d.processStarts++
	env.Seed = env.Seed*seedFactor + n + d.processStarts<<restartSeedShift
	return env
}

// settings returns the settings that all processes of the deployment have in
// common, with the given name and zone.
func (d *Dev) settings(s DevSettings, name, zone string) parser.Settings {
	text := fmt.Sprintf("[process]\nname = %s\nzone = %s\n[platform]\naddress = %s\n[sessions]\naddress = %s\n[operators]\naddress = %s\n",
		name, zone, loopback(devPlatformPort), loopback(0), loopback(0))
	out, err := parser.ParseSettings(name, []byte(text), func(string) (string, bool) { return "", false })
	if err != nil {
		panic("assembler: " + err.Error()) // the text above is valid
	}
	if s.ProbeInterval > 0 {
		out.Sessions.ProbeInterval = s.ProbeInterval
	}
	if s.ProbeTimeout > 0 {
		out.Sessions.ProbeTimeout = s.ProbeTimeout
	}
	return out
}

// Teams returns the names of the teams, sorted.
func (d *Dev) Teams() []string {
	out := make([]string, 0, len(d.Secrets))
	for t := range d.Secrets {
		out = append(out, t)
	}
	sort.Strings(out)
	return out
}

// Close ends all processes and fakes of the deployment immediately.
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
	d.tasks.Wait()
}

// DevPlatformAddress returns the address of the fake platform.
func DevPlatformAddress() string { return loopback(devPlatformPort) }

// DevCallerAddress returns the address at which entry number i serves callers,
// with i counted from 0.
func DevCallerAddress(i int) string { return loopback(devCallerPort + i) }

// DevOperatorAddress returns the address at which entry number i serves
// operators, with i counted from 0.
func DevOperatorAddress(i int) string { return loopback(devOperatorPort + i) }
