package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/platform"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// TestSettle has what callers were told and what ran disagree: each breach is
// found, and nothing else.
func TestSettle(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	for _, k := range []struct {
		id     string
		most   int
		status int
		own    bool
		runs   int
	}{
		{"once", 1, 200, false, 1},
		{"twice", 1, 200, false, 2},
		{"repeated", 2, 200, false, 2},
		{"refused", 1, 503, true, 1},
		{"truly refused", 1, 503, true, 0},
		{"refused by the target", 1, 503, false, 1}, // its own answer
		{"unknown", 1, 502, true, 1},
		{"cut", 1, 0, false, 1},
	} {
		l.note(asked{id: k.id, most: k.most, status: k.status, own: k.own})
		for range k.runs {
			l.ran(k.id, "d1")
		}
	}
	var found []string
	for _, f := range l.settle() {
		found = append(found, f.Promise+" "+f.Request)
	}
	c.Assert(found, qt.DeepEquals, []string{"twice twice", "refused refused"})
	c.Assert(l.served, qt.Equals, 3)
	c.Assert(l.refused, qt.Equals, 2)
}

// TestCheck has answers that are not what the request must get.
func TestCheck(t *testing.T) {
	for _, k := range []struct {
		name   string
		stream bool
		id     string
		body   string
		stamp  string
		found  int
	}{
		{"right", false, "t1-k1-1", wholeAnswer("t1-k1-1"), "x", 0},
		{"right stream", true, "t1-k1-1", events("t1-k1-1", 0), "x", 0},
		{"of another", false, "t1-k1-2", wholeAnswer("t1-k1-1"), "x", 1},
		{"short", false, "t1-k1-1", "answer", "x", 1},
		{"stream with a gap", true, "t1-k1-1", events("t1-k1-1", 1), "x", 1},
		{"stream with an event twice", true, "t1-k1-1", events("t1-k1-1", 0) + events("t1-k1-1", 5), "x", 1},
		{"not the target's", false, "t1-k1-1", wholeAnswer("t1-k1-1"), "", 1},
	} {
		c := qt.New(t)
		l := newLedger()
		u := consumer{soak: &Soak{ledger: l}}
		r := &http.Response{StatusCode: 200, Header: platform.EncodeAnswer(platform.AnswerHeader{ID: k.id, Stamped: k.stamp != ""}, k.stamp)}
		u.check(kind{stream: k.stream}, asked{id: "t1-k1-1", status: 200, own: k.stamp == ""}, r, []byte(k.body))
		c.Assert(l.findings, qt.HasLen, k.found, qt.Commentf("%s", k.name))
	}
}

// TestProxy cuts one way: the bytes come late, none is lost, and a reset is seen.
func TestProxy(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer p.close()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	echo := func() error {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	c.Assert(echo(), qt.IsNil)
	c.Assert(p.sound(0), qt.IsTrue)
	for _, link := range []Link{{There: true}, {Back: true}} {
		p.set(link, false)
		c.Assert(p.sound(0), qt.IsFalse)
		got := make(chan error, 1)
		go func() { got <- echo() }()
		select {
		case err := <-got:
			c.Fatalf("echo over a cut way: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
		p.set(Link{}, false)
		c.Assert(<-got, qt.IsNil)
	}
	p.set(Link{Refuse: true}, true)
	c.Assert(echo(), qt.IsNotNil)
}

// TestPlan draws the same faults from the same seed, and leaves none behind.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	s := &Soak{settings: Settings{Length: 20 * time.Second}, keys: []string{"t1-k1"}}
	s.settings.fill()
	for i := range 3 {
		s.entries = append(s.entries, &host{soak: s, name: fmt.Sprint("front-", i)})
		s.targets = append(s.targets, &target{soak: s, address: fmt.Sprint("target-", i)})
	}
	draw := func(seed uint64) (out []string) {
		for _, step := range s.plan(rand.New(rand.NewPCG(seed, 1))) {
			c.Assert(step.at <= s.settings.Length, qt.IsTrue)
			out = append(out, fmt.Sprint(step.at, step.what))
		}
		return out
	}
	c.Assert(draw(7), qt.DeepEquals, draw(7))
	c.Assert(draw(7), qt.Not(qt.DeepEquals), draw(8))
	c.Assert(len(draw(7)) > 10, qt.IsTrue)
}

// promises returns the promises of what was found.
func promises(l *ledger) []string {
	var out []string
	for _, f := range l.findings {
		out = append(out, f.Promise)
	}
	return out
}

// TestTargetChecks breaks on purpose what a target looks at, one after another.
func TestTargetChecks(t *testing.T) {
	right := func() platform.ReceivedHeader {
		return platform.ReceivedHeader{ID: "t1-k1-c-1", Teams: []string{"t1"}}
	}
	for _, k := range []struct {
		name  string
		body  string
		spoil func(a *platform.ReceivedHeader)
		since time.Duration // that its key is withdrawn
		found []string
	}{
		{name: "right", body: bodyOf("t1-k1-c-1"), spoil: func(*platform.ReceivedHeader) {}},
		{"no team", bodyOf("t1-k1-c-1"), func(a *platform.ReceivedHeader) { a.Teams = nil }, 0, []string{"unasked"}},
		{"another team", bodyOf("t1-k1-c-1"), func(a *platform.ReceivedHeader) { a.Teams = []string{"forged"} }, 0, []string{"unasked"}},
		{"two teams", bodyOf("t1-k1-c-1"), func(a *platform.ReceivedHeader) { a.Teams = []string{"t1", "forged"} }, 0, []string{"unasked"}},
		{"key", bodyOf("t1-k1-c-1"), func(a *platform.ReceivedHeader) { a.Secret = "t1-k1" }, 0, []string{"unasked"}},
		{"body of another", bodyOf("t1-k1-c-2"), func(*platform.ReceivedHeader) {}, 0, []string{"mixed"}},
		{"just withdrawn", bodyOf("t1-k1-c-1"), func(*platform.ReceivedHeader) {}, revokeTime / 2, nil},
		{"withdrawn", bodyOf("t1-k1-c-1"), func(*platform.ReceivedHeader) {}, 2 * revokeTime, []string{"revoked"}},
	} {
		c := qt.New(t)
		l := newLedger()
		if k.since > 0 {
			l.withdrawn["t1-k1"] = time.Now().Add(-k.since)
		}
		u := &target{soak: &Soak{ledger: l}, proxy: &proxy{}}
		a := right()
		k.spoil(&a)
		u.check(a, []byte(k.body))
		c.Assert(promises(l), qt.DeepEquals, k.found, qt.Commentf("%s", k.name))
	}
}

// TestOne has two processes that order an engine, and a window of usage with two
// figures.
func TestOne(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	s := &Soak{ledger: l, store: fake.NewRowStore()}
	u := &target{soak: s, role: radishspoke.DecodeRole, id: "i-1"}
	order := func(holder string, after int64) int {
		body, _, err := platform.EncodeOrder(platform.RoleOrder{Role: radishspoke.PrefillRole, Holder: holder, Epoch: 1, After: after})
		c.Assert(err, qt.IsNil)
		return u.order(body).Status
	}
	c.Assert(order("side-1", 0), qt.Equals, http.StatusAccepted)
	c.Assert(order("side-1", 0), qt.Equals, http.StatusConflict)
	c.Assert(promises(l), qt.HasLen, 0)
	c.Assert(order("side-2", 1), qt.Equals, http.StatusAccepted)
	c.Assert(promises(l), qt.DeepEquals, []string{"one"})

	server := httptest.NewServer(s.store)
	defer server.Close()
	client := platform.New(platform.Settings{Duties: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, ticker.BootClock{})
	report := func(n int64) {
		c.Assert(client.ReportUsage(t.Context(), platform.Tenure{Holder: "front-1", Epoch: 1}, 7, map[string]int64{"t1": n}), qt.IsNil)
	}
	report(3)
	report(3) // repeated
	s.checkUsage()
	c.Assert(promises(l), qt.DeepEquals, []string{"one"})
	report(4)
	s.checkUsage()
	c.Assert(promises(l), qt.DeepEquals, []string{"one", "one"})
}

// TestHeld has callers who get no whole answer: one who waited to the limit was
// held, one whose connection ended was cut, and neither counts around a kill.
func TestHeld(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	u := consumer{soak: &Soak{ledger: l, lag: &lag{}}}
	const limit = time.Second
	began := time.Now().Add(-limit)
	sound, killed := &host{name: "front-1"}, &host{name: "front-2", upset: time.Now()}
	for _, h := range []*host{killed, sound} {
		u.broken(asked{id: "held"}, h, began, limit, limit, io.ErrUnexpectedEOF)
		u.broken(asked{id: "cut"}, h, began, limit/2, limit, io.ErrUnexpectedEOF)
		u.broken(asked{id: "broken off", status: 200}, h, began, limit/2, limit, io.ErrUnexpectedEOF)
	}
	c.Assert(promises(l), qt.DeepEquals, []string{"held", "lost"})
	// This program itself was not run in time.
	u.soak.lag.late = []lateness{{time.Now(), limit}}
	u.broken(asked{id: "late"}, sound, began, limit, limit, io.ErrUnexpectedEOF)
	c.Assert(promises(l), qt.HasLen, 2)
}
