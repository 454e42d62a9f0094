package elector_test

import (
	"context"
	"log/slog"
	"sort"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"radishspoke"
	"radishspoke/coordination/elector"
)

// store is a table that can be slow or unavailable, or lose the replies to
// writes. In a slow call, time passes before and after the call takes effect.
type store struct {
	radishspoke.Table
	now    time.Duration
	rows   map[string]radishspoke.Row
	outage bool
	lose   int           // number of further replies to lose
	slow   time.Duration // before and after the effect of a call

	// meanwhile is called between the effect of a slow write and its reply,
	// if it is not nil. It runs the steps of other processes.
	meanwhile func()
}

func (s *store) Now() time.Duration { return s.now }

func (s *store) History() radishspoke.History { return radishspoke.History{} }

func (s *store) List(_ context.Context, prefix string) ([]radishspoke.Row, error) {
	s.now += s.slow
	if s.outage {
		return nil, radishspoke.ErrUnavailable
	}
	var out []radishspoke.Row
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.now += s.slow
	return out, nil
}

func (s *store) Commit(_ context.Context, id string, writes ...radishspoke.Write) error {
	s.now += s.slow
	if s.outage {
		return radishspoke.ErrUnavailable
	}
	for _, w := range writes {
		if s.rows[w.Key].Version != w.Version {
			return radishspoke.ErrConflict
		}
	}
	for _, w := range writes {
		s.rows[w.Key] = radishspoke.Row{Key: w.Key, Value: w.Value, Version: w.Version + 1, WriteID: id}
	}
	s.delayReply()
	if s.lose > 0 {
		s.lose--
		return radishspoke.ErrUnavailable
	}
	return nil
}

// delayReply lets time pass between the effect of a write and its reply.
func (s *store) delayReply() {
	f := s.meanwhile
	s.meanwhile = nil // prevents recursion
	for range slowSteps {
		s.now += s.slow / slowSteps
		if f != nil && s.slow > 0 {
			f()
		}
	}
	s.meanwhile = f
}

const slowSteps = 6

func TestLeases(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { checkLeases(r, r) })
}

// checkLeases runs a random schedule of steps, slow calls, outages, lost replies
// and restarts over three processes that want two leases. It fails if a lease has
// two holders at the same time, or if an epoch ever has a second holder.
func checkLeases(t rapid.TB, r *rapid.T) {
	s := &store{now: time.Hour, rows: map[string]radishspoke.Row{}}
	processes := map[string]*elector.Elector{}
	start := func(name string, rank int) {
		wanted := func() map[string]int { return map[string]int{"x": rank, "y": 2 - rank} }
		processes[name] = elector.New(elector.Settings{Name: name}, s, s, wanted, slog.New(slog.DiscardHandler))
	}
	names := []string{"a", "b", "c"}
	for i, n := range names {
		start(n, i)
	}
	index := rapid.IntRange(0, len(names)-1)
	holders := map[string]map[int64]string{"x": {}, "y": {}}
	stepping := ""
	step := func(name string) {
		stepping = name
		processes[name].Step(context.Background())
	}
	s.meanwhile = func() {
		for _, n := range names {
			if n != stepping {
				processes[n].Step(context.Background())
			}
			checkHolders(t, names, processes, holders)
		}
	}
	r.Repeat(map[string]func(*rapid.T){
		"step": func(r *rapid.T) { step(names[index.Draw(r, "process")]) },
		"step all": func(*rapid.T) {
			for _, n := range names {
				step(n)
			}
		},
		"wait":    func(r *rapid.T) { s.now += time.Duration(rapid.IntRange(1, 9000).Draw(r, "ms")) * time.Millisecond },
		"slow":    func(r *rapid.T) { s.slow = time.Duration(rapid.IntRange(0, 15000).Draw(r, "ms")) * time.Millisecond },
		"outage":  func(*rapid.T) { s.outage = true },
		"lose":    func(r *rapid.T) { s.lose = rapid.IntRange(1, 4).Draw(r, "answers") },
		"mend":    func(*rapid.T) { s.outage, s.lose, s.slow = false, 0, 0 },
		"restart": func(r *rapid.T) { i := index.Draw(r, "process"); start(names[i], i) },
		"":        func(*rapid.T) { checkHolders(t, names, processes, holders) },
	})
}

// checkHolders fails if a lease has two holders now, or if an epoch has had
// another holder before.
func checkHolders(t rapid.TB, names []string, processes map[string]*elector.Elector, holders map[string]map[int64]string) {
	for lease, epochs := range holders {
		holder := ""
		for _, n := range names {
			epoch, ok := processes[n].Holds(lease)
			if !ok {
				continue
			}
			if holder != "" {
				t.Fatalf("%s and %s hold %s", holder, n, lease)
			}
			holder = n
			if old, ok := epochs[epoch]; ok && old != n {
				t.Fatalf("epoch %d of %s was held by %s and by %s", epoch, lease, old, n)
			}
			epochs[epoch] = n
		}
	}
}

// TestSuccession stops the holder of a lease, and checks that the second
// candidate acquires the lease within 15 s and with the next epoch.
func TestSuccession(t *testing.T) {
	c := qt.New(t)
	s := &store{now: time.Hour, rows: map[string]radishspoke.Row{}}
	wanted := map[string]int{"x": 0}
	first := elector.New(elector.Settings{Name: "a"}, s, s, func() map[string]int { return wanted }, slog.New(slog.DiscardHandler))
	second := elector.New(elector.Settings{Name: "b"}, s, s, func() map[string]int { return map[string]int{"x": 1} }, slog.New(slog.DiscardHandler))
	first.Step(context.Background())
	epoch, ok := first.Holds("x")
	c.Assert(ok, qt.IsTrue)
	c.Assert(epoch, qt.Equals, int64(1))
	takeover := func() time.Duration {
		start := s.now
		for {
			second.Step(context.Background())
			if _, ok := second.Holds("x"); ok {
				return s.now - start
			}
			s.now += 2 * time.Second
		}
	}
	c.Assert(takeover() <= 15*time.Second, qt.IsTrue)
	epoch, _ = second.Holds("x")
	c.Assert(epoch, qt.Equals, int64(2))
	e, err := elector.ReadEpoch(context.Background(), readableStore{s}, "x")
	c.Assert(err, qt.IsNil)
	c.Assert(e, qt.Equals, int64(2))
}

// TestRestartedHolder restarts the holder of a lease. A process with an exclusive
// name acquires the lease of its predecessor at once, with the next epoch. Other
// processes have to wait.
func TestRestartedHolder(t *testing.T) {
	c := qt.New(t)
	s := &store{now: time.Hour, rows: map[string]radishspoke.Row{}}
	wanted := func() map[string]int { return map[string]int{"x": 0} }
	start := func(name string, exclusive bool) *elector.Elector {
		e := elector.New(elector.Settings{Name: name, Exclusive: exclusive}, s, s, wanted, slog.New(slog.DiscardHandler))
		e.Step(context.Background())
		return e
	}
	epoch, ok := start("a", true).Holds("x")
	c.Assert(ok && epoch == 1, qt.IsTrue)
	_, ok = start("a", false).Holds("x")
	c.Assert(ok, qt.IsFalse)
	_, ok = start("b", true).Holds("x")
	c.Assert(ok, qt.IsFalse)
	epoch, ok = start("a", true).Holds("x")
	c.Assert(ok && epoch == 2, qt.IsTrue)
}

// readableStore adds reads of single rows to a store.
type readableStore struct{ *store }

func (t readableStore) Read(_ context.Context, key string) (radishspoke.Row, error) {
	r, ok := t.rows[key]
	if !ok {
		return r, radishspoke.ErrNotFound
	}
	return r, nil
}
