package biller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/biller"
	"radishspoke/coordination/elector"
	"radishspoke/internal/fake"
	"radishspoke/platform"
)

// Times of the model. The lease and the window are those of the platform's deployments.
const (
	modelLease    = 4 * time.Second
	modelMargin   = time.Second
	modelTurn     = modelLease - modelMargin // no two holders may report in the order A, B, A within it
	modelWindow   = 5 * time.Second
	modelStep     = 500 * time.Millisecond
	modelCopies   = 10 * time.Second // age of the oldest copy of the store
	modelRecovery = 30 * time.Second // time without faults at the end
)

// model is a fleet of entries, of which one reports usage, in simulated time. The store comes
// back from older copies; entries are killed, stopped, paused and cut off, also in the middle of a
// call; replies of the store are lost, and its writes are late.
type model struct {
	store   *fake.RowStore
	network *fake.Network
	now     time.Duration
	entries map[string]*modelEntry
	copies  []modelCopy
	away    time.Duration // time until which the store is away
	late    []lateWrite
	reports []lateReport // in flight
	starts  uint64
	servers []*http.Server
	failure string // the first violation

	// meanwhile runs between the effect of the next write of an entry and its reply, if it is
	// not nil.
	meanwhile func()

	fences  map[int64]string           // holder, by fence
	fence   int64                      // highest so far
	windows map[int64]map[string]int64 // counts of reported windows
	newest  int64                      // window reported
	calls   map[string]time.Duration   // time of the last report, by holder
	last    string                     // holder that reported last
	order   []int64                    // windows, in the order of their reports
}

type modelCopy struct {
	at     time.Duration
	backup fake.Backup
}

type lateWrite struct {
	due  time.Duration
	body []byte
}

// lateReport is a report that its sender has given up and that arrives late, unless its sender
// ends before.
type lateReport struct {
	due           time.Duration
	sender        *modelEntry
	fence, window int64
	counts        map[string]int64
}

// modelEntry is one process.
type modelEntry struct {
	m       *model
	name    string
	table   *platform.Table
	elector *elector.Elector
	biller  *biller.Biller
	stopped bool
	paused  time.Duration // time until which it does not run
	inCall  bool          // waits for a reply
	starts  uint64        // incarnation
	cut     bool          // off from the store
	lose    int           // replies to writes that are lost
	delay   int           // writes that are performed late
	mute    int           // reports that are given up and arrive late
}

func newModel() *model {
	return &model{
		store: fake.NewRowStore(), network: fake.NewNetwork(), now: time.Hour, entries: map[string]*modelEntry{},
		fences: map[int64]string{}, windows: map[int64]map[string]int64{}, calls: map[string]time.Duration{},
	}
}

// Now implements radishspoke.Clock.
func (m *model) Now() time.Duration { return m.now }

// fail records a violation.
func (m *model) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

func (m *model) close() {
	for _, s := range m.servers {
		_ = s.Close()
	}
}

func (m *model) timeOfDay() (time.Time, bool) { return start.Add(m.now), true }

// start starts a process, in place of an earlier one of that name.
func (m *model) start(name string) {
	m.starts++
	e := &modelEntry{m: m, name: name, starts: m.starts}
	address := fmt.Sprintf("store-%d:1", m.starts)
	l, err := m.network.Host(fmt.Sprintf("store-%d", m.starts)).Listen(address)
	if err != nil {
		panic(err) // the address is new
	}
	server := &http.Server{Handler: e, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = server.Serve(l) }()
	m.servers = append(m.servers, server)
	e.table = platform.NewTable(platform.New(platform.Settings{Store: address}, m.network.Host(name), m))
	log := slog.New(slog.DiscardHandler)
	e.elector = elector.New(elector.Settings{Name: name, Exclusive: true, Duration: modelLease, Margin: modelMargin}, e.table, m, e.wanted, log)
	e.biller = biller.New(biller.Settings{Window: modelWindow}, func() (string, uint64) { return name, e.starts }, e.table, e,
		m.timeOfDay, e.elector.Lease(biller.LeaseName), log)
	m.entries[name] = e
}

func (e *modelEntry) wanted() map[string]int {
	if e.stopped {
		return nil
	}
	return map[string]int{biller.LeaseName: 0}
}

// ServeHTTP serves the store to one entry.
func (e *modelEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := e.m
	switch {
	case e.cut:
		panic(http.ErrAbortHandler)
	case m.now < m.away:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Path != platform.CommitPath:
		m.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.delay > 0 {
		e.delay--
		m.late = append(m.late, lateWrite{due: m.now + time.Duration(1+e.delay%6)*time.Second, body: body})
		panic(http.ErrAbortHandler)
	}
	reply := m.write(body)
	if f := m.meanwhile; f != nil {
		m.meanwhile = nil
		e.inCall = true
		f()
		e.inCall = false
	}
	if e.lose > 0 {
		e.lose--
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), reply.Header())
	w.WriteHeader(reply.Code)
	_, _ = w.Write(reply.Body.Bytes())
}

// write performs a write.
func (m *model) write(body []byte) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	m.store.ServeHTTP(w, httptest.NewRequest(http.MethodPost, platform.CommitPath, bytes.NewReader(body)))
	return w
}

// ReportUsage reports usage under the lease. It implements biller.UsageReporter.
func (e *modelEntry) ReportUsage(ctx context.Context, fence, window int64, counts map[string]int64) error {
	return e.elector.Lease(biller.LeaseName).Use(ctx, fence, func(context.Context) error {
		if e.mute > 0 {
			e.mute--
			due := e.m.now + time.Duration(1+e.mute%3)*modelStep
			e.m.reports = append(e.m.reports, lateReport{due, e, fence, window, maps.Clone(counts)})
			return radishspoke.ErrUnanswered
		}
		e.check(fence, window, counts)
		return nil
	})
}

// check checks a report that arrives.
func (e *modelEntry) check(fence, window int64, counts map[string]int64) {
	m := e.m
	if holder, ok := m.fences[fence]; ok && holder != e.name {
		m.fail("fence %d of %s and of %s", fence, holder, e.name)
	}
	if fence < m.fence {
		m.fail("fence %d of %s after %d", fence, e.name, m.fence)
	}
	if old, ok := m.windows[window]; ok && !maps.Equal(old, counts) {
		m.fail("window %d was reported as %v and by %s as %v", window, old, e.name, counts)
	}
	if at, ok := m.calls[e.name]; ok && m.last != e.name && m.now-at < modelTurn {
		m.fail("%s reports after %s and %v after its own last report", e.name, m.last, m.now-at)
	}
	m.calls[e.name], m.last = m.now, e.name
	m.order = append(m.order, window)
	m.fences[fence], m.fence, m.windows[window], m.newest = e.name, fence, maps.Clone(counts), max(m.newest, window)
}

// step runs all that one entry does at its intervals.
func (e *modelEntry) step() {
	if e.inCall || e.m.now < e.paused {
		return
	}
	e.elector.Step(context.Background())
	e.m.check()
	err := e.biller.Step(context.Background())
	if err != nil && !errors.Is(err, radishspoke.ErrUnavailable) && !errors.Is(err, radishspoke.ErrUnanswered) && !errors.Is(err, radishspoke.ErrConflict) && !errors.Is(err, elector.ErrNotHeld) {
		e.m.fail("%s: %v", e.name, err)
	}
}

// check fails if two entries hold the lease.
func (m *model) check() {
	var holders []string
	for n, e := range m.entries {
		if _, ok := e.elector.Holds(biller.LeaseName); ok {
			holders = append(holders, n)
		}
	}
	if len(holders) > 1 {
		m.fail("%v hold the lease", holders)
	}
}

// run runs all entries for a time.
func (m *model) run(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += modelStep {
		m.late = slices.DeleteFunc(m.late, func(w lateWrite) bool {
			if w.due <= m.now && m.now >= m.away {
				m.write(w.body)
				return true
			}
			return false
		})
		m.reports = slices.DeleteFunc(m.reports, func(r lateReport) bool {
			if r.due <= m.now {
				r.sender.check(r.fence, r.window, r.counts)
			}
			return r.due <= m.now
		})
		if m.now >= m.away {
			m.copies = append(m.copies, modelCopy{m.now, m.store.Backup()})
		}
		m.copies = slices.DeleteFunc(m.copies, func(c modelCopy) bool { return c.at < m.now-modelCopies })
		for _, n := range m.names() {
			m.entries[n].step()
		}
		m.exchange()
	}
}

func (m *model) names() []string { return slices.Sorted(maps.Keys(m.entries)) }

// exchange sends the counts of all entries that run to each other.
func (m *model) exchange() {
	for _, from := range m.entries {
		if m.now < from.paused || from.inCall {
			continue
		}
		for w, counts := range from.biller.RecentCounts() {
			for _, to := range m.entries {
				if to != from && m.now >= to.paused {
					to.biller.Merge(from.name, from.starts, w, counts)
				}
			}
		}
	}
}

// drill lets the store be away for a time, and come back from the newest copy that is at least
// as old as the given age.
func (m *model) drill(age, away time.Duration) {
	if len(m.copies) == 0 {
		return
	}
	c := m.copies[0]
	for _, o := range m.copies {
		if o.at <= m.now-age {
			c = o
		}
	}
	m.away = m.now + away
	m.run(away)
	m.store.Restore(c.backup)
	m.copies = slices.DeleteFunc(m.copies, func(o modelCopy) bool { return o.at > c.at })
}

// restart kills an entry and starts it again after a time.
func (m *model) restart(e *modelEntry, down time.Duration) {
	delete(m.entries, e.name)
	m.reports = slices.DeleteFunc(m.reports, func(r lateReport) bool { return r.sender == e })
	m.run(down)
	m.start(e.name)
}

// stop stops an entry as planned, which takes a time, and starts it again.
func (m *model) stop(e *modelEntry, leaving, down time.Duration) {
	e.stopped = true
	m.run(leaving)
	e.elector.Step(context.Background())
	_ = e.biller.SaveOnStop(context.Background()) // fails while the store is away
	m.restart(e, down)
}

// holder returns the entry that holds the lease, or the first one if none does.
func (m *model) holder() *modelEntry {
	for _, n := range m.names() {
		if _, ok := m.entries[n].elector.Holds(biller.LeaseName); ok {
			return m.entries[n]
		}
	}
	return m.entries[m.names()[0]]
}
