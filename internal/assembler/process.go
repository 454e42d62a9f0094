package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/protocol/wire"
	"radishspoke/state/parser"
	"radishspoke/state/recorder"
	"radishspoke/state/storer"
	"radishspoke/state/tracker"
	"radishspoke/state/watcher"
	"radishspoke/transport/connector"
	"radishspoke/transport/listener"
	"radishspoke/transport/ticker"
)

// Environment is what a process gets from its host.
type Environment struct {
	Network radishspoke.Network
	Clock   radishspoke.Clock
	Log     *slog.Logger

	// Seed starts the process's random numbers.
	Seed uint64

	// UsageWindow is the length of a billing window,
	// radishspoke.UsageWindowLength if zero. Tests shorten it; it must be
	// the same in every process, for good.
	UsageWindow time.Duration
}

// The methods that entries serve to one another and to sidecars.
const (
	fetchMethod  = "config.fetch"
	pushMethod   = "config.push"
	budgetMethod = "budget"
	voteMethod   = "vote"
	orderMethod  = "order"
)

// process is what entries and sidecars have in common.
type process struct {
	settings parser.Settings
	env      Environment
	timers   *ticker.Service
	store    *storer.Client
	watcher  *watcher.Watcher
	tracker  *tracker.Tracker
	recorder *recorder.Recorder
	server   *listener.Server
	log      *slog.Logger
	started  time.Time

	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup
	listeners []net.Listener
	servers   []*http.Server

	// incarnation tells this process from earlier ones of its name.
	incarnation uint64
}

func newProcess(s parser.Settings, env Environment) *process {
	log := env.Log.With("process", s.Process.Name)
	ctx, cancel := context.WithCancel(context.Background())
	store := storer.New(env.Network, s.Platform.Address, s.Platform.Timeout)
	return &process{
		settings: s, env: env, log: log, ctx: ctx, cancel: cancel,
		timers: ticker.New(env.Clock), store: store,
		watcher: watcher.New(store, env.Clock, log), tracker: tracker.New(store, log),
		recorder: recorder.New(), started: time.Now(),
		incarnation: incarnationOf(env.Seed),
	}
}

// incarnationOf returns a number that is not zero.
func incarnationOf(seed uint64) uint64 { return rand.New(rand.NewPCG(seed, 0)).Uint64() | 1 }

// random returns a source for one duty; each has its own.
func (p *process) random(duty uint64) *rand.Rand {
	return rand.New(rand.NewPCG(p.env.Seed, duty))
}

// Numbers of the duties that need random numbers.
const (
	routeDuty uint64 = iota + 1
	trackDuty
	pollDuty
	voteDuty
)

// run starts a duty that ends with the process.
func (p *process) run(duty func(ctx context.Context)) {
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		duty(p.ctx)
	}()
}

// every starts a duty that is done each period, until the process ends.
func (p *process) every(period time.Duration, failed string, duty func(ctx context.Context) error) {
	p.run(func(ctx context.Context) {
		ticks, stop := p.timers.Every(period)
		defer stop()
		for {
			if err := duty(ctx); err != nil && ctx.Err() == nil {
				p.log.Warn(failed, "error", err)
			}
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			}
		}
	})
}

// listen opens a listener that is closed with the process.
func (p *process) listen(address string) (net.Listener, error) {
	l, err := p.env.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	p.listeners = append(p.listeners, l)
	return l, nil
}

// serveSessions accepts sessions from peers.
func (p *process) serveSessions() error {
	l, err := p.listen(p.settings.Sessions.Address)
	if err != nil {
		return err
	}
	p.run(func(ctx context.Context) {
		if err := p.server.Serve(ctx, l); err != nil {
			p.log.Error("sessions no longer accepted", "error", err)
		}
	})
	return nil
}

// serveHTTP serves h at address.
func (p *process) serveHTTP(address string, h http.Handler, headerTimeout time.Duration, maxHeader int) (*http.Server, error) {
	l, err := p.listen(address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug),
	}
	p.servers = append(p.servers, s)
	p.run(func(context.Context) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("http no longer served", "address", address, "error", err)
		}
	})
	return s, nil
}

const (
	idleTimeout       = 2 * time.Minute
	operatorTimeout   = 5 * time.Second
	operatorMaxHeader = 16 << 10 // bytes
)

// serveOperators serves the operators' address.
func (p *process) serveOperators(ready func() bool, status func() any) error {
	r := mux.NewRouter()
	r.Handle("/metrics", p.recorder)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", readiness(ready))
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	})
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	_, err := p.serveHTTP(p.settings.Operators.Address, r, operatorTimeout, operatorMaxHeader)
	return err
}

func readiness(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}

// fetch gives a peer the configuration if it is newer than its own.
func (p *process) fetch(_ context.Context, q *wire.FetchConfig) (*wire.ConfigDocument, error) {
	version, hash, data := p.watcher.Packed()
	if version <= q.NewerThan {
		return &wire.ConfigDocument{Version: version, Hash: hash}, nil
	}
	return &wire.ConfigDocument{Version: version, Hash: hash, Document: data}, nil
}

// push takes the configuration of a peer.
func (p *process) push(_ context.Context, c *wire.ConfigDocument) (*wire.Ack, error) {
	if err := p.watcher.AcceptPacked(c.Version, c.Hash, c.Document); err != nil {
		return nil, fmt.Errorf("configuration from a peer: %w", err)
	}
	return &wire.Ack{}, nil
}

// announce puts the process on the platform's list, trying until it is there.
func (p *process) announce(kind string, leaving bool) radishspoke.Member {
	return radishspoke.Member{
		Name: p.settings.Process.Name, Kind: kind, Zone: p.settings.Process.Zone,
		Address: p.settings.Sessions.Address, Manage: p.settings.Operators.Address, Leaving: leaving,
	}
}

const announceRetry = time.Second

func (p *process) announceLoop(ctx context.Context, m radishspoke.Member) {
	for {
		err := p.store.Announce(ctx, m)
		if err == nil {
			return
		}
		p.log.Warn("not announced", "error", err)
		if !ticker.Sleep(ctx, announceRetry) {
			return
		}
	}
}

// close ends everything at once.
func (p *process) close() {
	p.cancel()
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.server.Close()
	p.group.Wait()
	p.store.Close()
}

func (p *process) sessionSettings() connector.Settings {
	return connector.Settings{ProbeInterval: p.settings.Sessions.ProbeInterval, ProbeTimeout: p.settings.Sessions.ProbeTimeout}
}

// ageMillis converts an age for a probe.
func ageMillis(d time.Duration) int64 { return d.Milliseconds() }

// DrainTimeout returns the operators' bound on a planned stop, or otherwise
// if no configuration is known.
func (p *process) DrainTimeout(otherwise time.Duration) time.Duration {
	if c := p.watcher.Current(); c != nil {
		return c.Inventory.Rules.DrainTimeout
	}
	return otherwise
}

// usageWindow returns the length of a billing window.
func (p *process) usageWindow() time.Duration {
	if p.env.UsageWindow > 0 {
		return p.env.UsageWindow
	}
	return radishspoke.UsageWindowLength
}
