package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
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
		r := &http.Response{StatusCode: 200, Header: http.Header{fake.HeaderID: {k.id}, fake.HeaderStamp: {k.stamp}}}
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
