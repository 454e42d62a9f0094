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
	"radishspoke/transport/httpclient"
	"radishspoke/transport/ticker"
)

// ErrNotAccepted is returned if a Relayer did not accept an order, so that
// nothing has run.
var ErrNotAccepted = errors.New("sidecar did not accept the order")

// ClientSettings holds the parameters of a Client.
type ClientSettings struct {
	// Port is the port of every Relayer on the host of its engine.
	Port int

	// Link is the bandwidth of the link of this host in bytes per second. If it
	// is 0, the bandwidth is unknown and no request is worth relaying.
	Link float64

	// Overhead is the cost of sending a request through a Relayer: a round trip
	// between availability zones and the work of the process. The default is 2
	// ms. A request is relayed if sending its body a second time takes at least
	// as long.
	Overhead time.Duration

	// ProbeInterval is the time between two probes of Relayers that do not
	// respond. The default is 500 ms.
	ProbeInterval time.Duration
}

const (
	defaultOverhead      = 2 * time.Millisecond
	defaultProbeInterval = 500 * time.Millisecond
)

// peer holds what a Client knows about one Relayer.
type peer struct {
	address  string
	silent   bool          // it does not respond
	expected time.Duration // queue and prefill time of a further prompt, as last reported
	heard    time.Duration // time of the last report
}

// Stage is the progress of an order at a Relayer.
type Stage int

// Stages of an order.
const (
	Queued    Stage = iota // the prompt waits for its turn
	Forwarded              // the prompt is prefilled and the request goes to the decode engine
)

// Progress is called when an order reaches a stage, with the time that the next
// stage is expected to take; 0 if that is not known.
type Progress func(s Stage, expected time.Duration)

// Stats holds the measurements of an order by a Relayer. Times of stages that
// were not reached are 0.
type Stats struct {
	QueueTime    time.Duration // wait for the prefill
	ReadTime     time.Duration // duration of the prefill
	ResponseTime time.Duration // until the decode engine answered

	// Waiting and Slots are the load of the prefill engine. Slots is 0 if the
	// load is not known.
	Waiting, Slots int
}

// Client sends orders to Relayers. It is safe for concurrent use. Create it with
// NewClient.
type Client struct {
	settings ClientSettings
	targets  Targets
	clock    radishspoke.Clock
	log      *slog.Logger

	mu    sync.Mutex
	peers map[string]*peer // by engine
}

// NewClient returns a Client without Relayers.
func NewClient(s ClientSettings, t Targets, c radishspoke.Clock, log *slog.Logger) *Client {
	if s.Overhead == 0 {
		s.Overhead = defaultOverhead
	}
	if s.ProbeInterval == 0 {
		s.ProbeInterval = defaultProbeInterval
	}
	return &Client{settings: s, targets: t, clock: c, log: log, peers: map[string]*peer{}}
}

// List replaces the engines whose Relayers are used.
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
			k.log.Warn("address of the engine is malformed, its sidecar is not used", "engine", i.ID, "address", i.Address, "error", err)
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

// Worthwhile reports whether a request with a body of size bytes is expected to
// be served sooner through the Relayer of an engine than by sending it to both
// engines. It returns false if the Relayer is unknown or does not respond.
func (k *Client) Worthwhile(engine string, size int) bool {
	if k.settings.Link <= 0 || float64(size)/k.settings.Link < k.settings.Overhead.Seconds() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.peers[engine]
	return ok && !p.silent
}

// ExpectedDelay returns the expected queue and prefill time of a further prompt,
// and false if the Relayer has not reported it.
func (k *Client) ExpectedDelay(engine string) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.peers[engine]
	if !ok || p.silent || p.heard == 0 {
		return 0, false
	}
	return max(0, p.expected-(k.clock.Now()-p.heard)), true
}

// MarkSilent records that a Relayer does not respond. It is not used until a
// probe succeeds.
func (k *Client) MarkSilent(engine, reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.peers[engine]; ok && !p.silent {
		p.silent = true
		k.log.Warn("sidecar silent, its engine is called from here", "engine", engine, "sidecar", p.address, "reason", reason)
	}
}

// Run probes the Relayers that do not respond until ctx ends.
func (k *Client) Run(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, k.settings.ProbeInterval, func() {
		var tasks sync.WaitGroup
		for engine, address := range k.silent() {
			tasks.Go(func() {
				if err := k.probe(ctx, address); err != nil {
					k.log.Debug("sidecar still does not respond", "engine", engine, "sidecar", address, "error", err)
					return
				}
				k.markBack(engine)
			})
		}
		tasks.Wait()
	})
}

// silent returns the addresses of the Relayers that do not respond, by engine.
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

// markBack records that a Relayer responds again. Its delay is unknown until it
// reports.
func (k *Client) markBack(engine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.peers[engine]; ok && p.silent {
		p.silent, p.heard = false, 0
		k.log.Info("sidecar is back", "engine", engine, "sidecar", p.address)
	}
}

// probe returns nil if the Relayer at address responds.
func (k *Client) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, k.settings.ProbeInterval)
	defer cancel()
	a, err := k.targets.Do(ctx, address, &httpclient.Call{Method: http.MethodGet, Target: Path, Host: address, Header: http.Header{}})
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

// Do sends an order to the Relayer of an engine and returns the answer of the
// decode engine. The error is ErrNotAccepted, sequencer.ErrDeadlineUnreachable
// or one of Read, or it wraps httpclient.ErrNotSent or httpclient.ErrNoResponse for the decode
// engine. If the Relayer aborts, the error wraps httpclient.ErrNoResponse, too.
func (k *Client) Do(ctx context.Context, engine string, o *Order, progress Progress) (*httpclient.Response, Stats, error) {
	k.mu.Lock()
	p, ok := k.peers[engine]
	if !ok {
		k.mu.Unlock()
		return nil, Stats{}, ErrNotAccepted
	}
	address := p.address
	k.mu.Unlock()
	data, err := o.encode()
	if err != nil {
		return nil, Stats{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	answered := false // at least one interim answer has arrived
	a, err := k.targets.Do(ctx, address, &httpclient.Call{
		Method: http.MethodPost, Target: Path, Host: address, Header: http.Header{}, Body: data,
		OnInterim: func(status int, h http.Header) {
			answered = true
			k.handleInterim(engine, status, h, progress)
		},
		Matches: func(status int, h http.Header) bool {
			return h.Get(headerOutcome) != outcomeAnswer || o.owns(status, h)
		},
	})
	if err != nil {
		k.MarkSilent(engine, err.Error())
		// A Relayer sends statusQueued before it does anything else. If the
		// connection was closed properly before that, the order was not
		// accepted.
		closed := !answered && errors.Is(err, io.ErrUnexpectedEOF)
		if closed || errors.Is(err, httpclient.ErrNotSent) {
			return nil, Stats{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
		}
		return nil, Stats{}, err
	}
	k.heard(engine, a.Header)
	out := decodeStats(a.Header)
	kind, reason := a.Header.Get(headerOutcome), a.Header.Get(headerReason)
	for _, n := range []string{headerOutcome, headerReason, headerExpect, headerTurn, headerRead, headerTook, headerLoad} {
		a.Header.Del(n)
	}
	if kind == outcomeAnswer {
		return a, out, nil
	}
	_, _ = io.Copy(io.Discard, a) // drain the empty body so that the connection can be reused
	a.Close()
	switch kind {
	case outcomeStopping:
		k.MarkSilent(engine, reason)
		return nil, out, fmt.Errorf("%w: %s", ErrNotAccepted, reason)
	case outcomeHopeless:
		return nil, out, sequencer.ErrDeadlineUnreachable
	case outcomeUnread:
		return nil, out, fmt.Errorf("%w: %s", ErrNotRead, reason)
	case outcomeSilent:
		return nil, out, fmt.Errorf("%w: %w: %s", ErrNotRead, ErrNoResponse, reason)
	case outcomeUnsent:
		return nil, out, fmt.Errorf("%w: %s", httpclient.ErrNotSent, reason)
	case outcomeLost:
		return nil, out, fmt.Errorf("%w: %s", httpclient.ErrNoResponse, reason)
	}
	k.MarkSilent(engine, "answer has no outcome")
	return nil, out, fmt.Errorf("%w: status %d without outcome", httpclient.ErrNoResponse, a.Status)
}

// handleInterim processes an interim answer.
func (k *Client) handleInterim(engine string, status int, h http.Header, progress Progress) {
	switch status {
	case statusQueued:
		k.heard(engine, h)
		expected, _ := k.ExpectedDelay(engine)
		progress(Queued, expected)
	case statusForwarded:
		progress(Forwarded, 0)
	}
}

// heard records the delay that a Relayer reports.
func (k *Client) heard(engine string, h http.Header) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.peers[engine]; ok {
		p.heard, p.expected = k.clock.Now(), headerTime(h, headerExpect)
	}
}

// decodeStats returns the measurements in the headers of a Relayer.
func decodeStats(h http.Header) Stats {
	o := Stats{QueueTime: headerTime(h, headerTurn), ReadTime: headerTime(h, headerRead), ResponseTime: headerTime(h, headerTook)}
	if waiting, slots, ok := strings.Cut(h.Get(headerLoad), ","); ok {
		// Malformed values are treated as unknown.
		o.Waiting, _ = strconv.Atoi(waiting)
		o.Slots, _ = strconv.Atoi(slots)
	}
	return o
}

// headerTime returns the duration in a header, and 0 if it is missing or
// malformed.
func headerTime(h http.Header, name string) time.Duration {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return microseconds(n)
}
