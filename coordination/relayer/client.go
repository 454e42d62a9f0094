package relayer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/sequencer"
	"radishspoke/transport/caller"
	"radishspoke/transport/ticker"
)

// ErrAway says that a Relayer did not take an order, so that nothing ran.
var ErrAway = errors.New("sidecar did not take the order")

// ClientSettings of a Client.
type ClientSettings struct {
	// Port is that of every Relayer, on the host of its engine.
	Port int

	// Link is how many bytes a second the link of this host carries; 0 if it
	// is not known. It then counts as fast.
	Link float64

	// Hop is what the way through a Relayer costs a request; 2 ms if zero: a
	// round trip between availability zones and the work of the process. A
	// request goes that way if sending it twice costs more.
	Hop time.Duration

	// Probe is the time between two questions whether silent Relayers are
	// back; 500 ms if zero.
	Probe time.Duration
}

const (
	defaultHop   = 2 * time.Millisecond
	defaultProbe = 500 * time.Millisecond
)

// peer is one Relayer as a Client knows it.
type peer struct {
	address string
	silent  bool
	expect  time.Duration // as it said last
	heard   time.Duration // when
}

// Stage is how far a Relayer is with an order.
type Stage int

// Stages.
const (
	Taken  Stage = iota // the prompt waits for its turn
	Passed              // it was read, the request goes to the second engine
)

// Progress is called when an order reaches a stage, with the time that the next
// one is expected to take; 0 if that is not known.
type Progress func(s Stage, expected time.Duration)

// Outcome is what a Relayer says of an order. Times are 0 if it came not that
// far.
type Outcome struct {
	Turn time.Duration // waited for the reading
	Read time.Duration // took the reading
	Took time.Duration // until the second engine answered

	// Waiting and Slots are the first engine's load; Slots is 0 if it is not
	// known.
	Waiting, Slots int
}

// Client sends orders to Relayers. Its methods may be called at once from many
// goroutines. Make it with NewClient.
type Client struct {
	settings ClientSettings
	targets  Targets
	clock    radishspoke.Clock
	log      *slog.Logger

	mu    sync.Mutex
	peers map[string]*peer // by engine
}

// NewClient returns a Client that knows no Relayers.
func NewClient(s ClientSettings, t Targets, c radishspoke.Clock, log *slog.Logger) *Client {
	if s.Hop == 0 {
		s.Hop = defaultHop
	}
	if s.Probe == 0 {
		s.Probe = defaultProbe
	}
	return &Client{settings: s, targets: t, clock: c, log: log, peers: map[string]*peer{}}
}

// List replaces the engines.
func (k *Client) List(list []radishspoke.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := map[string]*peer{}
	for _, i := range list {
		if i.Role == "" {
			continue
		}
		host, err := netip.ParseAddrPort(i.Address)
		if err != nil {
			k.log.Warn("engine's sidecar not used", "engine", i.ID, "address", i.Address, "error", err)
			continue
		}
		address := net.JoinHostPort(host.Addr().String(), strconv.Itoa(k.settings.Port))
		p, ok := k.peers[i.ID]
		if !ok || p.address != address {
			p = &peer{address: address}
		}
		next[i.ID] = p
	}
	k.peers = next
}

// Pays tells whether a request with a body of size bytes is served sooner by way
// of the Relayer beside an engine.
func (k *Client) Pays(engine string, size int) bool {
	if k.settings.Link <= 0 || float64(size)/k.settings.Link < k.settings.Hop.Seconds() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.peers[engine]
	return ok && !p.silent
}

// Expect returns how long one more prompt would wait for its turn and be read;
// false if the Relayer has not said.
func (k *Client) Expect(engine string) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.peers[engine]
	if !ok || p.silent || p.heard == 0 {
		return 0, false
	}
	return max(0, p.expect-(k.clock.Now()-p.heard)), true
}

// Lost notes that a Relayer is silent.
func (k *Client) Lost(engine, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.peers[engine]; ok && !p.silent {
		p.silent = true
		k.log.Warn("sidecar silent, its engine is called from here", "engine", engine, "sidecar", p.address, "reason", why)
	}
}

// Run asks silent Relayers whether they are back, until ctx ends.
func (k *Client) Run(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, k.settings.Probe, func() {
		var tasks sync.WaitGroup
		for engine, address := range k.silent() {
			tasks.Go(func() {
				if err := k.probe(ctx, address); err != nil {
					k.log.Debug("sidecar still silent", "engine", engine, "sidecar", address, "error", err)
					return
				}
				k.back(engine)
			})
		}
		tasks.Wait()
	})
}

func (k *Client) silent() map[string]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]string{}
	for engine, p := range k.peers {
		if p.silent {
			out[engine] = p.address
		}
	}
	return out
}

func (k *Client) back(engine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.peers[engine]; ok && p.silent {
		p.silent, p.heard = false, 0
		k.log.Info("sidecar is back", "engine", engine, "sidecar", p.address)
	}
}

func (k *Client) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, k.settings.Probe)
	defer cancel()
	a, err := k.targets.Do(ctx, address, &caller.Call{Method: http.MethodGet, Target: Path, Host: address, Header: http.Header{}})
	if err != nil {
		return fmt.Errorf("probe sidecar: %w", err)
	}
	defer a.Close()
	if _, err := io.Copy(io.Discard, a); err != nil {
		return fmt.Errorf("probe sidecar: %w", err)
	}
	if a.Status != http.StatusOK {
		return fmt.Errorf("probe sidecar: status %d", a.Status)
	}
	return nil
}

// Do sends an order to the Relayer beside an engine and returns the answer of
// the engine that generates. The error is ErrAway, sequencer.ErrDeadlineUnreachable, of
// Read, or wraps caller.ErrNotSent or caller.ErrLost for the second engine. A
// Relayer that breaks off gives caller.ErrLost, too.
func (k *Client) Do(ctx context.Context, engine string, o *Order, progress Progress) (*caller.Answer, Outcome, error) {
	k.mu.Lock()
	p, ok := k.peers[engine]
	if !ok {
		k.mu.Unlock()
		return nil, Outcome{}, ErrAway
	}
	address := p.address
	k.mu.Unlock()
	data, err := o.encode()
	if err != nil {
		return nil, Outcome{}, fmt.Errorf("%w: %w", ErrAway, err)
	}
	answered := false // in part, at least
	a, err := k.targets.Do(ctx, address, &caller.Call{
		Method: http.MethodPost, Target: Path, Host: address, Header: http.Header{}, Body: data,
		Interim: func(status int, h http.Header) {
			answered = true
			k.interim(engine, status, h, progress)
		},
		Mine: func(status int, h http.Header) bool {
			return h.Get(headerOutcome) != outcomeAnswer || o.mine(status, h)
		},
	})
	if err != nil {
		k.Lost(engine, err.Error())
		// A Relayer tells that it has taken an order before it does anything,
		// so one that closed the connection in order has not.
		closed := !answered && errors.Is(err, io.ErrUnexpectedEOF)
		if closed || errors.Is(err, caller.ErrNotSent) {
			return nil, Outcome{}, fmt.Errorf("%w: %w", ErrAway, err)
		}
		return nil, Outcome{}, err
	}
	k.heard(engine, a.Header)
	out := decodeOutcome(a.Header)
	kind, reason := a.Header.Get(headerOutcome), a.Header.Get(headerReason)
	for _, n := range []string{headerOutcome, headerReason, headerExpect, headerTurn, headerRead, headerTook, headerLoad} {
		a.Header.Del(n)
	}
	if kind == outcomeAnswer {
		return a, out, nil
	}
	_, _ = io.Copy(io.Discard, a) // empty; the connection may be used again
	a.Close()
	switch kind {
	case outcomeStopping:
		k.Lost(engine, reason)
		return nil, out, fmt.Errorf("%w: %s", ErrAway, reason)
	case outcomeHopeless:
		return nil, out, sequencer.ErrDeadlineUnreachable
	case outcomeUnread:
		return nil, out, fmt.Errorf("%w: %s", ErrNotRead, reason)
	case outcomeSilent:
		return nil, out, fmt.Errorf("%w: %w: %s", ErrNotRead, ErrSilent, reason)
	case outcomeUnsent:
		return nil, out, fmt.Errorf("%w: %s", caller.ErrNotSent, reason)
	case outcomeLost:
		return nil, out, fmt.Errorf("%w: %s", caller.ErrLost, reason)
	}
	k.Lost(engine, "no outcome")
	return nil, out, fmt.Errorf("%w: status %d without outcome", caller.ErrLost, a.Status)
}

// interim takes an interim answer.
func (k *Client) interim(engine string, status int, h http.Header, progress Progress) {
	switch status {
	case statusTaken:
		k.heard(engine, h)
		expected, _ := k.Expect(engine)
		progress(Taken, expected)
	case statusRead:
		progress(Passed, 0)
	}
}

// heard notes what a Relayer says of its queue.
func (k *Client) heard(engine string, h http.Header) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.peers[engine]; ok {
		p.heard, p.expect = k.clock.Now(), headerTime(h, headerExpect)
	}
}

func decodeOutcome(h http.Header) Outcome {
	o := Outcome{Turn: headerTime(h, headerTurn), Read: headerTime(h, headerRead), Took: headerTime(h, headerTook)}
	if waiting, slots, ok := strings.Cut(h.Get(headerLoad), ","); ok {
		// Unreadable figures count as not known.
		o.Waiting, _ = strconv.Atoi(waiting)
		o.Slots, _ = strconv.Atoi(slots)
	}
	return o
}

// headerTime reads a time; one that is missing or unreadable is not known.
func headerTime(h http.Header, name string) time.Duration {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return microseconds(n)
}
