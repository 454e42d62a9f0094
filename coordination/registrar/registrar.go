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
	// time Span. It is empty if there were several, in which case Span is the time for
	// which the holder has followed the list, or if its list may be old.
	Sole string
	Span time.Duration
}

// several reports whether the holder has seen several versions.
func (r Reply) several() bool { return r.Sole == "" && r.Span > 0 }

// Transport carries records and questions to sidecars.
type Transport interface {
	// Send sends records to a holder. They may get lost.
	Send(host string, records []Record)

	// Ask asks a holder for the record of a stream of a group, which can have lasted for
	// the time span.
	Ask(ctx context.Context, host string, k Key, group string, span time.Duration) (Reply, error)
}

// List tells how current the list of targets of a process is.
type List interface {
	// Followed returns the period, on the clock of the process, in which no change of the
	// list was missed.
	Followed() (since, until time.Duration)

	// Refresh reads the list. It returns when SetTargets has been called with a list that
	// was read after the call of Refresh, if it differs from the one before.
	Refresh(ctx context.Context) error
}

// Registrar records the streams that a process begins and finds those of all processes.
// It is safe for concurrent use. Create it with New.
type Registrar struct {
	settings  Settings
	own       *Registry
	history   *History
	list      List
	transport Transport
	clock     radishspoke.Clock
	log       *slog.Logger

	mu      sync.RWMutex
	holders []Holder
}

// New returns a Registrar that keeps its own records in own. It knows no holders.
func New(s Settings, own *Registry, h *History, l List, t Transport, c radishspoke.Clock, log *slog.Logger) *Registrar {
	if s.Copies == 0 {
		s.Copies = defaultCopies
	}
	if s.Asked == 0 {
		s.Asked = defaultAsked
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	return &Registrar{settings: s, own: own, history: h, list: l, transport: t, clock: c, log: log}
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
//
// Without a record, the stream began at the only version that was listed in that time. The
// list is read again for that: a stream begins after its target was listed, so that a list
// that is read now has had the version. It may also have holders that were not known.
func (r *Registrar) Find(ctx context.Context, k Key, group string, span time.Duration) (Version, error) {
	if o, ok := r.own.Find(k); ok {
		return o.version()
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timeout)
	defer cancel()
	asked := r.placeEver(k)
	s := statements{}
	if o, ok := r.ask(ctx, asked, k, group, span, &s); ok {
		return o.version()
	}
	if _, _, ok := r.sole(group); !ok {
		return Version{}, ErrUnknown
	}
	if err := r.list.Refresh(ctx); err != nil {
		r.log.Debug("list of targets not read", "error", err)
		return Version{}, ErrUnknown
	}
	var added []Holder
	for _, h := range r.placeEver(k) {
		if !slices.ContainsFunc(asked, func(o Holder) bool { return o.Host == h.Host }) {
			added = append(added, h)
		}
	}
	if o, ok := r.ask(ctx, added, k, group, span, &s); ok {
		return o.version()
	}
	sole, longest, ok := r.sole(group)
	if !ok || s.several {
		return Version{}, ErrUnknown
	}
	for version, t := range s.sole {
		if version != sole {
			return Version{}, ErrUnknown
		}
		longest = max(longest, t)
	}
	if longest < span {
		return Version{}, ErrUnknown
	}
	return Version{Group: group, Software: sole}, nil
}

// statements is what holders without a record of a stream say about the versions of a group.
type statements struct {
	several bool                     // a holder has seen several
	sole    map[string]time.Duration // by version: the longest time for which a holder has seen no other one
}

// ask asks holders for the record of a stream. It returns false if none has it, after it has
// added what they say to s.
func (r *Registrar) ask(ctx context.Context, holders []Holder, k Key, group string, span time.Duration, s *statements) (Record, bool) {
	replies := make(chan Reply, len(holders))
	for _, h := range holders {
		go func() {
			reply, err := r.transport.Ask(ctx, h.Host, k, group, span)
			if err != nil {
				r.log.Debug("holder of records not asked", "host", h.Host, "error", err)
			}
			replies <- reply
		}()
	}
	for range holders {
		reply := <-replies
		switch {
		case reply.Known:
			return reply.Record, true
		case reply.several():
			s.several = true
		case reply.Sole != "":
			if s.sole == nil {
				s.sole = map[string]time.Duration{}
			}
			s.sole[reply.Sole] = max(s.sole[reply.Sole], reply.Span)
		}
	}
	return Record{}, false
}

// sole returns the only software version of a group that is listed, and the time for which no
// other one was, as far as this process has followed the list. It returns false if there is
// none.
func (r *Registrar) sole(group string) (software string, span time.Duration, ok bool) {
	software, changed, ok := r.history.Sole(group)
	since, until := r.list.Followed()
	return software, max(0, until-max(since, changed)), ok
}

// version returns the version in a record. The error is ErrUnknown.
func (o Record) version() (Version, error) {
	if o.Version.Software == "" {
		return Version{}, ErrUnknown
	}
	return o.Version, nil
}

// Reply answers a question about a stream of a group, which can have lasted for the time span,
// from what this process knows. The argument current tells whether its list of targets is known
// to be current.
func (r *Registrar) Reply(k Key, group string, span time.Duration, current bool) Reply {
	o, ok := r.own.Find(k)
	out := Reply{Record: o, Known: ok}
	if !current || ok {
		return out
	}
	since, until := r.list.Followed()
	followed := until - since
	if software, sole, ok := r.sole(group); ok && sole >= min(span, followed) {
		out.Sole, out.Span = software, sole
	} else if r.history.Listed(group) {
		out.Span = followed
	}
	return out
}
