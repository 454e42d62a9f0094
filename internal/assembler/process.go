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
	"radishspoke/transport/budgeter"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/connector"
	"radishspoke/transport/listener"
	"radishspoke/transport/ticker"
)

// Environment holds the facilities that a process uses from its host.
type Environment struct {
	Network radishspoke.Network
	Clock   radishspoke.Clock
	Log     *slog.Logger

	// Seed is the seed of the random numbers of the process.
	Seed uint64

	// UsageWindow is the length of a billing window. If it is zero,
	// radishspoke.UsageWindowLength is used. Tests use shorter windows. The
	// length must be the same in every process, and must not change while
	// usage is stored.
	UsageWindow time.Duration
}

// Methods that entries and sidecars serve over sessions.
const (
	fetchMethod  = "config.fetch"
	pushMethod   = "config.push"
	budgetMethod = "budget"
	voteMethod   = "vote"
	orderMethod  = "order"
)

// process holds the state and the methods that entries and sidecars have in
// common.
type process struct {
	settings parser.Settings
	env      Environment
	timers   *ticker.Timers
	store    *storer.Client
	watcher  *watcher.Watcher
	tracker  *tracker.Tracker
	recorder *recorder.Recorder
	budget   *budgeter.Budget

	callerWatcher *callerwatcher.Watcher

	server  *listener.Server
	log     *slog.Logger
	started time.Time

	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	listeners []net.Listener
	servers   []*http.Server

	// incarnation distinguishes this process from earlier ones with the same
	// name. It is never zero.
	incarnation uint64
}

func newProcess(s parser.Settings, env Environment) *process {
	log := env.Log.With("process", s.Process.Name)
	ctx, cancel := context.WithCancel(context.Background())
	store := storer.New(env.Network, s.Platform.Address, s.Platform.Timeout)
	p := &process{
		settings: s, env: env, log: log, ctx: ctx, cancel: cancel,
		timers: ticker.New(env.Clock), store: store,
		watcher: watcher.New(store, env.Clock, log), tracker: tracker.New(store, log),
		recorder: recorder.New(), started: time.Now(),
		incarnation: incarnationOf(env.Seed), budget: budgeter.New(budgeter.Settings{}, log),
	}
	p.budget.Register(p.recorder)
	return p
}

// incarnationOf returns a random incarnation number for a seed. The number is
// not zero.
func incarnationOf(seed uint64) uint64 { return rand.New(rand.NewPCG(seed, 0)).Uint64() | 1 }

// random returns a generator of the given stream of random numbers.
func (p *process) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(p.env.Seed, stream))
}

// Streams of random numbers. Each user has its own.
const (
	dispatcherStream uint64 = iota + 1
	trackerStream
	pollStream
	voterStream
)

// run starts a goroutine that calls task. The context is done when the process
// ends.
func (p *process) run(task func(ctx context.Context)) {
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		task(p.ctx)
	}()
}

// runEvery starts a goroutine that calls task immediately, and then once per period
// until the process ends. If task returns an error, it is logged with the given message.
func (p *process) runEvery(period time.Duration, message string, task func(ctx context.Context) error) {
	p.run(func(ctx context.Context) {
		ticks, stop := p.timers.Every(period)
		defer stop()
		for {
			if err := task(ctx); err != nil && ctx.Err() == nil {
				p.log.Warn(message, "error", err)
			}
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			}
		}
	})
}

// listen opens a listener that is closed when the process ends.
func (p *process) listen(address string) (net.Listener, error) {
	l, err := p.env.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	p.listeners = append(p.listeners, l)
	return l, nil
}

// serveSessions starts to accept sessions from peers.
func (p *process) serveSessions() error {
	l, err := p.listen(p.settings.Sessions.Address)
	if err != nil {
		return err
	}
	p.run(func(ctx context.Context) {
		if err := p.server.Serve(ctx, l); err != nil {
			p.log.Error("session listener failed", "error", err)
		}
	})
	return nil
}

// serveHTTP starts an HTTP server at address with the handler h. Its connections may use a share
// of the descriptors.
func (p *process) serveHTTP(name string, share float64, address string, h http.Handler, headerTimeout time.Duration, maxHeader int) (*http.Server, error) {
	l, err := p.listen(address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)}
	limits := radishspoke.CallerLimits{HeaderBytes: maxHeader, HeaderTime: headerTimeout, IdleTime: httpIdleTimeout}
	w := callerwatcher.New(p.recorder)
	w.Watch(s)
	l = p.budget.Protect(s, l, budgeter.Port{Name: name, Share: share, Reserved: share == budgeter.OtherShare, Limits: func() radishspoke.CallerLimits { return limits }})
	p.servers = append(p.servers, s)
	p.run(func(ctx context.Context) { w.Run(ctx, p.timers) })
	p.run(func(context.Context) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("HTTP server failed", "address", address, "error", err)
		}
	})
	return s, nil
}

const (
	httpIdleTimeout        = 2 * time.Minute
	operatorHeaderTimeout  = 5 * time.Second
	operatorMaxHeaderBytes = 16 << 10 // bytes
)

// serveOperators starts the HTTP server for operators, which serves metrics,
// health, readiness, status and profiles.
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
	_, err := p.serveHTTP("operators", budgeter.OtherShare, p.settings.Operators.Address, r, operatorHeaderTimeout, operatorMaxHeaderBytes)
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

// handleFetch returns the configuration to a peer that has an older version. If
// the peer's version is not older, the reply has no document.
func (p *process) handleFetch(_ context.Context, q *wire.FetchConfig) (*wire.ConfigDocument, error) {
	version, hash, data := p.watcher.Compressed()
	if version <= q.NewerThan {
		return &wire.ConfigDocument{Version: version, Hash: hash}, nil
	}
	return &wire.ConfigDocument{Version: version, Hash: hash, Document: data}, nil
}

// handlePush accepts the configuration that a peer sends.
func (p *process) handlePush(_ context.Context, c *wire.ConfigDocument) (*wire.Ack, error) {
	if err := p.watcher.AcceptCompressed(c.Version, c.Hash, c.Document); err != nil {
		return nil, fmt.Errorf("configuration from a peer: %w", err)
	}
	return &wire.Ack{}, nil
}

// member returns the record of this process for the platform's list of members.
func (p *process) member(kind string, leaving bool) radishspoke.Member {
	return radishspoke.Member{
		Name: p.settings.Process.Name, Kind: kind, Zone: p.settings.Process.Zone,
		Address: p.settings.Sessions.Address, Manage: p.settings.Operators.Address, Leaving: leaving,
	}
}

const announceRetry = time.Second

// announceLoop adds m to the platform's list of members, retrying until it
// succeeds or ctx is done.
func (p *process) announceLoop(ctx context.Context, m radishspoke.Member) {
	for {
		err := p.store.Announce(ctx, m)
		if err == nil {
			return
		}
		p.log.Warn("process not added to the list of members", "error", err)
		if !ticker.Sleep(ctx, announceRetry) {
			return
		}
	}
}

// close ends the process immediately and waits for its goroutines.
func (p *process) close() {
	p.cancel()
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.server.Close()
	p.tasks.Wait()
	p.store.Close()
}

func (p *process) sessionSettings() connector.Settings {
	return connector.Settings{ProbeInterval: p.settings.Sessions.ProbeInterval, ProbeTimeout: p.settings.Sessions.ProbeTimeout}
}

// ageMillis returns an age in milliseconds, the unit used in probes.
func ageMillis(d time.Duration) int64 { return d.Milliseconds() }

// DrainTimeout returns the limit that operators have set on the duration of a
// planned stop, or fallback if no configuration is known.
func (p *process) DrainTimeout(fallback time.Duration) time.Duration {
	if c := p.watcher.Current(); c != nil {
		return c.Inventory.Rules.DrainTimeout
	}
	return fallback
}

// usageWindow returns the length of a billing window.
func (p *process) usageWindow() time.Duration {
	if p.env.UsageWindow > 0 {
		return p.env.UsageWindow
	}
	return radishspoke.UsageWindowLength
}
