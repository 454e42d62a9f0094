package registrar

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// ErrUnknown is returned for a stream of which it is not known which version began it.
var ErrUnknown = errors.New("it is not known which software version began the stream")

// Settings holds the parameters of a Registrar. A zero value selects the default.
type Settings struct {
	// Copies is the number of holders of each record. The default is 3.
	Copies int

	// Asked is the number of hosts that are asked for a record, without regard to which
	// of them leave, in addition to the present holders. It exceeds Copies, because hosts
	// may have come and begun to leave since the record was made. The default is 16.
	Asked int

	// Timeout is the maximum time of a question. The default is 250 ms.
	Timeout time.Duration
}

const (
	defaultCopies  = 3
	defaultAsked   = 16
	defaultTimeout = 250 * time.Millisecond
)

// Reply is the answer of a holder to a question.
type Reply struct {
	Record Record
	Known  bool // the holder has a record

	// Sole is the only software version of the group that the holder has seen for the
	// time Span. It is empty if there were several or if its list may be old.
	Sole string
	Span time.Duration
}

// Transport carries records and questions to sidecars.
type Transport interface {
	// Send sends records to a holder. They may get lost.
	Send(host string, records []Record)

	// Ask asks a holder for the record of a stream of a group.
	Ask(ctx context.Context, host string, k Key, group string) (Reply, error)
}

// Registrar records the streams that a process begins and finds those of all processes.
// It is safe for concurrent use. Create it with New.
type Registrar struct {
	settings  Settings
	own       *Registry
	history   *History
	transport Transport
	clock     radishspoke.Clock
	log       *slog.Logger

	mu      sync.RWMutex
	holders []Holder
}

// New returns a Registrar that keeps its own records in own. It knows no holders.
func New(s Settings, own *Registry, h *History, t Transport, c radishspoke.Clock, log *slog.Logger) *Registrar {
	if s.Copies == 0 {
		s.Copies = defaultCopies
	}
	if s.Asked == 0 {
		s.Asked = defaultAsked
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	return &Registrar{settings: s, own: own, history: h, transport: t, clock: c, log: log}
}

// SetTargets replaces the list of targets, whose hosts are the holders.
func (r *Registrar) SetTargets(list []radishspoke.Instance) {
	r.history.SetTargets(list)
	holders := Holders(list)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders = holders
}

// place returns the present holders of a key, without one host.
func (r *Registrar) place(k Key, exclude string) []Holder {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return place(r.holders, k, r.settings.Copies, exclude)
}

// placeEver returns the hosts that may hold the record of a key.
func (r *Registrar) placeEver(k Key) []Holder {
	out := r.place(k, "")
	r.mu.RLock()
	defer r.mu.RUnlock()
	staying := slices.Clone(r.holders)
	for i := range staying {
		staying[i].leaving = false
	}
	for _, h := range place(staying, k, r.settings.Asked, "") {
		if !slices.ContainsFunc(out, func(o Holder) bool { return o.Host == h.Host }) {
			out = append(out, h)
		}
	}
	return out
}

// Begin records that a version begins a stream, for the given time. It is called before the
// first event is passed on.
func (r *Registrar) Begin(k Key, v Version, keep time.Duration) {
	o := Record{Key: k, Version: v, Until: r.clock.Now() + keep}
	r.own.Put(o)
	for _, h := range r.place(k, "") {
		r.transport.Send(h.Host, []Record{o})
	}
}

// maxDatagramRecords is the number of records in one datagram, which then fits into a
// packet of 1,500 bytes with names of up to 20 bytes.
const maxDatagramRecords = 20

// HandOver sends all records of this process to their holders on other hosts.
func (r *Registrar) HandOver(host string) {
	byHost := map[string][]Record{}
	for _, o := range r.own.Records() {
		for _, h := range r.place(o.Key, host) {
			byHost[h.Host] = append(byHost[h.Host], o)
		}
	}
	for to, records := range byHost {
		for len(records) > 0 {
			n := min(maxDatagramRecords, len(records))
			r.transport.Send(to, records[:n])
			records = records[n:]
		}
	}
}

// Find returns the version that began a stream. The group is that to which a new stream of
// the route would go, and span the time for which a stream of the route can have lasted. The
// error wraps ErrUnknown.
func (r *Registrar) Find(ctx context.Context, k Key, group string, span time.Duration) (Version, error) {
	if o, ok := r.own.Find(k); ok {
		return o.version()
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timeout)
	defer cancel()
	holders := r.placeEver(k)
	replies := make(chan Reply, len(holders))
	for _, h := range holders {
		go func() {
			reply, err := r.transport.Ask(ctx, h.Host, k, group)
			if err != nil {
				r.log.Debug("holder of records not asked", "host", h.Host, "error", err)
			}
			replies <- reply
		}()
	}
	sole, longest, ok := r.history.Sole(group)
	for range holders {
		reply := <-replies
		switch {
		case reply.Known:
			return reply.Record.version()
		case reply.Sole == sole:
			longest = max(longest, reply.Span)
		}
	}
	if ok && longest >= span {
		return Version{Group: group, Software: sole}, nil
	}
	return Version{}, ErrUnknown
}

// version returns the version in a record. The error is ErrUnknown.
func (o Record) version() (Version, error) {
	if o.Version.Software == "" {
		return Version{}, ErrUnknown
	}
	return o.Version, nil
}

// Reply answers a question about a stream of a group from what this process knows. The
// argument current tells whether its list of targets is known to be current.
func (r *Registrar) Reply(k Key, group string, current bool) Reply {
	o, ok := r.own.Find(k)
	out := Reply{Record: o, Known: ok}
	if current && !ok {
		out.Sole, out.Span, _ = r.history.Sole(group)
	}
	return out
}
