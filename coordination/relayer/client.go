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
	"radishspoke/platform"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/httpclient"
	"radishspoke/transport/ticker"
)

// ErrDeclined is wrapped, together with another error of Client.Do, if a Relayer sent nothing to
// an engine because its zone is evacuated: to the prefill engine with ErrNotPrefilled, to the
// decode engine with httpclient.ErrNotSent.
var ErrDeclined = errors.New("zone of the engine is evacuated")

// ErrHoldEnded is returned if a Relayer sent nothing to any engine, because the hold of the
// order would end before its prompt is read.
var ErrHoldEnded = errors.New("hold ended in the queue")

// ErrNotAccepted is returned if a Relayer did not accept an order, so that
// nothing has run.
var ErrNotAccepted = errors.New("sidecar did not take the order")

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

// peer holds the state of one Relayer as known to a Client.
type peer struct {
	address    string
	silent     bool          // it does not respond
	expected   time.Duration // queue time of a further prompt, as last reported
	reportedAt time.Duration // time of the last report
}

// Stage is the progress of an order at a Relayer.
type Stage int

// Stages of an order.
const (
	Queued    Stage = iota // the prompt waits for its turn
	Forwarded              // the prompt is prefilled and the request goes to the decode engine
)

// Progress is called when an order reaches a stage. The argument expected is the
// expected time until the next stage, or 0 if it is not known.
type Progress func(s Stage, expected time.Duration)

// Stats holds the measurements of an order by a Relayer. Times of stages that
// were not reached are 0.
type Stats struct {
	QueueTime    time.Duration // wait for the prefill
	PrefillTime  time.Duration // duration of the prefill
	ResponseTime time.Duration // until the decode engine answered

	// Framing is that of the answer at the decode engine.
	Framing httpclient.Framing

	// Prefilled tells that the prefill engine has answered, and PrefillAnswer what it said
	// about its limit and its load. Slots is 0 if the load is not known.
	Prefilled     bool
	PrefillAnswer platform.AnswerHeader
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

// SetEngines replaces the engines whose Relayers are used. Targets without a role
// are ignored.
func (c *Client) SetEngines(list []radishspoke.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]*peer{}
	for _, i := range list {
		if i.Role == "" {
			continue
		}
		host, err := netip.ParseAddrPort(i.Address)
		if err != nil {
			c.log.Warn("address of the engine is malformed, its sidecar is not used", "engine", i.ID, "address", i.Address, "error", err)
			continue
		}
		address := net.JoinHostPort(host.Addr().String(), strconv.Itoa(c.settings.Port))
		p, ok := c.peers[i.ID]
		if !ok || p.address != address {
			p = &peer{address: address}
		}
		next[i.ID] = p
	}
	c.peers = next
}

// Worthwhile reports whether a request with a body of size bytes is expected to
// be served sooner through the Relayer of an engine than by sending it to both
// engines. It returns false if the Relayer is unknown or does not respond.
func (c *Client) Worthwhile(engine string, size int) bool {
	if c.settings.Link <= 0 || float64(size)/c.settings.Link < c.settings.Overhead.Seconds() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[engine]
	return ok && !p.silent
}

// ExpectedWait returns the expected queue time of a further prompt,
// and false if the Relayer has not reported it.
func (c *Client) ExpectedWait(engine string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[engine]
	if !ok || p.silent || p.reportedAt == 0 {
		return 0, false
	}
	return max(0, p.expected-(c.clock.Now()-p.reportedAt)), true
}

// MarkSilent records that the Relayer of an engine does not respond. The Relayer
// is not used until a probe succeeds.
func (c *Client) MarkSilent(engine, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[engine]; ok && !p.silent {
		p.silent = true
		c.log.Warn("sidecar silent, its engine is called from here", "engine", engine, "sidecar", p.address, "reason", reason)
	}
}

// Run probes the Relayers that do not respond until ctx ends.
func (c *Client) Run(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, c.settings.ProbeInterval, func() {
		var tasks sync.WaitGroup
		for engine, address := range c.silentAddresses() {
			tasks.Go(func() {
				if err := c.probe(ctx, address); err != nil {
					c.log.Debug("sidecar still does not respond", "engine", engine, "sidecar", address, "error", err)
					return
				}
				c.markResponsive(engine)
			})
		}
		tasks.Wait()
	})
}

// silentAddresses returns the addresses of the Relayers that do not respond, by
// engine.
func (c *Client) silentAddresses() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for engine, p := range c.peers {
		if p.silent {
			out[engine] = p.address
		}
	}
	return out
}

// markResponsive records that a Relayer responds again. Its delay is unknown until
// it reports.
func (c *Client) markResponsive(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[engine]; ok && p.silent {
		p.silent, p.reportedAt = false, 0
		c.log.Info("sidecar is back", "engine", engine, "sidecar", p.address)
	}
}

// probe returns nil if the Relayer at address responds.
func (c *Client) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ProbeInterval)
	defer cancel()
	a, err := c.targets.Do(ctx, address, &httpclient.Call{Method: http.MethodGet, RequestURI: Path, Host: address, Header: http.Header{}})
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
// decode engine. The error wraps one of the following:
//
//   - ErrNotAccepted, if the Relayer did not accept the order
//   - sequencer.ErrDeadlineUnreachable, if the request cannot be answered in time
//   - ErrNotPrefilled, and also ErrNoResponse if the prefill engine did not respond
//   - ErrHoldEnded, if nothing was sent to any engine
//   - httpclient.ErrNotSent, if nothing was sent to the decode engine
//   - httpclient.ErrNoResponse, if the decode engine may have run the request, or
//     if the Relayer aborted
func (c *Client) Do(ctx context.Context, engine string, o *Order, progress Progress) (*httpclient.Response, Stats, error) {
	c.mu.Lock()
	p, ok := c.peers[engine]
	if !ok {
		c.mu.Unlock()
		return nil, Stats{}, ErrNotAccepted
	}
	address := p.address
	c.mu.Unlock()
	data, err := o.encode()
	if err != nil {
		return nil, Stats{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	answered := false
	a, err := c.targets.Do(ctx, address, &httpclient.Call{
		Method: http.MethodPost, RequestURI: Path, Host: address, Header: o.header(), Body: data,
		OnInterim: func(status int, h http.Header) {
			answered = true
			c.handleInterim(engine, status, h, progress)
		},
		Matches: func(status int, h http.Header, first bool) bool {
			return h.Get(headerOutcome) != outcomeAnswer || o.owns(status, h, first)
		},
	})
	if err != nil {
		if !errors.Is(err, callerwatcher.ErrLeft) && (ctx.Err() == nil || !answered) {
			c.MarkSilent(engine, err.Error())
		}
		// A Relayer sends statusQueued before it does anything else. If the
		// connection was closed before any byte of that, the order was not accepted.
		if errors.Is(err, httpclient.ErrClosed) || errors.Is(err, httpclient.ErrNotSent) {
			return nil, Stats{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
		}
		return nil, Stats{}, err
	}
	c.recordReport(engine, a.Header)
	out := decodeStats(a.Header)
	kind, reason, declined := a.Header.Get(headerOutcome), a.Header.Get(headerReason), a.Header.Get(headerDeclined) != ""
	for _, n := range []string{headerOutcome, headerDeclined, headerReason, headerExpectedWait, headerQueueTime, headerPrefillTime, headerResponseTime, headerLoad, headerLimit, headerFraming} {
		a.Header.Del(n)
	}
	if kind == outcomeAnswer {
		return a, out, nil
	}
	_, _ = io.Copy(io.Discard, a) // drain the empty body so that the connection can be reused
	a.Close()
	switch {
	case declined && kind == outcomeNotPrefilled:
		return nil, out, fmt.Errorf("%w: %w", ErrDeclined, ErrNotPrefilled)
	case declined && kind == outcomeNotSent:
		return nil, out, fmt.Errorf("%w: %w", ErrDeclined, httpclient.ErrNotSent)
	}
	switch kind {
	case outcomeStopping:
		c.MarkSilent(engine, reason)
		return nil, out, fmt.Errorf("%w: %s", ErrNotAccepted, reason)
	case outcomeUnreachable:
		return nil, out, sequencer.ErrDeadlineUnreachable
	case outcomeNotPrefilled:
		return nil, out, fmt.Errorf("%w: %s", ErrNotPrefilled, reason)
	case outcomeNoResponse:
		return nil, out, fmt.Errorf("%w: %w: %s", ErrNotPrefilled, ErrNoResponse, reason)
	case outcomeHoldEnded:
		return nil, out, fmt.Errorf("%w: %s", ErrHoldEnded, reason)
	case outcomeNotSent:
		return nil, out, fmt.Errorf("%w: %s", httpclient.ErrNotSent, reason)
	case outcomeMayHaveRun:
		return nil, out, fmt.Errorf("%w: %s", httpclient.ErrNoResponse, reason)
	}
	c.MarkSilent(engine, "no outcome")
	return nil, out, fmt.Errorf("%w: status %d without outcome", httpclient.ErrNoResponse, a.Status)
}

// handleInterim records the report in an interim answer and calls progress with
// the stage that the answer stands for.
func (c *Client) handleInterim(engine string, status int, h http.Header, progress Progress) {
	switch status {
	case statusQueued:
		c.recordReport(engine, h)
		expected, _ := c.ExpectedWait(engine)
		progress(Queued, expected)
	case statusForwarded:
		progress(Forwarded, 0)
	}
}

// recordReport records the wait that a Relayer reports.
func (c *Client) recordReport(engine string, h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[engine]; ok {
		p.reportedAt, p.expected = c.clock.Now(), headerTime(h, headerExpectedWait)
	}
}

// decodeStats returns the measurements in the headers of a Relayer.
func decodeStats(h http.Header) Stats {
	o := Stats{QueueTime: headerTime(h, headerQueueTime), PrefillTime: headerTime(h, headerPrefillTime), ResponseTime: headerTime(h, headerResponseTime)}
	if v, ok := h[headerLimit]; ok {
		o.Prefilled = true
		limit, err := strconv.ParseFloat(v[0], 64)
		o.PrefillAnswer.Limit, o.PrefillAnswer.Limited = limit, err == nil
	}
	o.Framing = httpclient.Framing(h.Get(headerFraming))
	decodeLoad(h.Get(headerLoad), &o.PrefillAnswer)
	return o
}

// encodeLoad returns the load of an engine as the value of headerLoad. The order of the values
// is that of earlier versions, which sent the first two.
func encodeLoad(a platform.AnswerHeader) string {
	return fmt.Sprintf("%d,%d,%d,%g", a.Waiting, a.Slots, a.Running, a.Slowness)
}

// decodeLoad sets the load of an engine to the value of headerLoad. Malformed values are treated
// as unknown.
func decodeLoad(v string, a *platform.AnswerHeader) {
	fields := strings.Split(v, ",")
	if len(fields) < 2 {
		return
	}
	a.Waiting, _ = strconv.Atoi(fields[0])
	a.Slots, _ = strconv.Atoi(fields[1])
	if len(fields) == 4 {
		a.Running, _ = strconv.Atoi(fields[2])
		a.Slowness, _ = strconv.ParseFloat(fields[3], 64)
	}
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
