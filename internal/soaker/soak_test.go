package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// TestEvaluate checks that a request that ran too often, and those that ran although
// the entry reported that they did not, are the only findings, and that refusals are counted by
// status.
func TestEvaluate(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	for _, test := range []struct {
		id        string
		maxRuns   int
		status    int
		fromEntry bool
		runs      int
		resumes   bool
		arrives   bool
	}{
		{"once", 1, 200, false, 1, false, true},
		{"twice", 1, 200, false, 2, false, true},
		{"repeated", 2, 200, false, 2, false, true},
		{"refused", 1, 503, true, 1, false, true},
		{"refused as too many", 1, 429, true, 1, false, true},
		{"resumption refused", 2, 503, true, 1, true, true},
		{"truly refused", 1, 503, true, 0, false, false},
		{"truly refused by all targets", 1, 503, true, 0, false, true},
		{"resumption truly refused", 2, 429, true, 0, true, false},
		{"resumed", 2, 200, false, 1, true, true},
		{"refused by the target", 1, 503, false, 1, false, true}, // the response comes from the target
		{"unknown", 1, 502, true, 1, false, true},
		{"cut", 1, 0, false, 1, false, true},
	} {
		r.addRequest(requestRecord{id: test.id, maxRuns: test.maxRuns, status: test.status, fromEntry: test.fromEntry, resumes: test.resumes})
		if test.arrives {
			r.addArrival(test.id)
		}
		for range test.runs {
			r.addExecution(test.id, "d1")
		}
	}
	var found []string
	for _, f := range r.evaluate() {
		found = append(found, f.Check+" "+f.Request)
	}
	c.Assert(found, qt.DeepEquals, []string{"twice twice", "refused refused", "refused refused as too many", "refused resumption refused"})
	c.Assert(r.served, qt.Equals, 4)
	c.Assert(r.refused, qt.DeepEquals, map[int]int{503: 4, 429: 2})
	c.Assert(r.refusedLate, qt.Equals, 4)
	c.Assert(r.resumptions, qt.DeepEquals, map[int]int{200: 1, 503: 1, 429: 1})
}

// TestRunsOfRequest checks that a request that may run at two targets is a finding if it runs at
// three of them, or more than twice at one, and one that may run once if it runs twice.
func TestRunsOfRequest(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		maxRuns int
		targets []string
		finding bool
	}{
		{2, []string{"d1", "d2"}, false},
		{2, []string{"d1", "d2", "d1"}, false}, // back at the one that was silent
		{2, []string{"d1", "d2", "d3"}, true},
		{2, []string{"d1", "d1", "d1"}, true},
		{1, []string{"d1"}, false},
		{1, []string{"d1", "d1"}, true},
		{1, []string{"d1", "d2"}, true},
	} {
		r := newRecorder()
		r.addRequest(requestRecord{id: "r", maxRuns: test.maxRuns, status: 200})
		for _, target := range test.targets {
			r.addExecution("r", target)
		}
		c.Check(len(r.evaluate()) > 0, qt.Equals, test.finding, qt.Commentf("%+v", test))
	}
}

// TestKept checks that only complete answers count whose key was withdrawn after their request
// had been sent.
func TestKept(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	sent := time.Now()
	r.setWithdrawn("t1-k1", true)
	r.setWithdrawn("t1-k1", false)
	after, ok := r.withdrawnAfter("t1-k1", sent)
	c.Assert(ok && after > 0, qt.IsTrue)
	_, ok = r.withdrawnAfter("t1-k1", time.Now())
	c.Assert(ok, qt.IsFalse)
	_, ok = r.withdrawnAfter("t1-k2", sent)
	c.Assert(ok, qt.IsFalse)
	for _, q := range []requestRecord{
		{key: "t1-k1", sent: sent, status: 200, complete: true},
		{key: "t1-k1", sent: sent, status: 200},
		{key: "t1-k1", sent: sent, status: 401, complete: true},
		{key: "t1-k1", sent: time.Now(), status: 200, complete: true},
		{key: "t1-k2", sent: sent, status: 200, complete: true},
	} {
		r.addRequest(q)
	}
	c.Assert(r.kept, qt.Equals, 1)
}

// TestCheckResponse checks that a response is a finding if it belongs to another
// request, is incomplete, has an event twice, or was not made by a target.
func TestCheckResponse(t *testing.T) {
	for _, test := range []struct {
		name   string
		stream bool
		id     string
		body   string
		stamp  string
		found  int
	}{
		{"right", false, "t1-k1-1", plainBody("t1-k1-1"), "x", 0},
		{"complete stream", true, "t1-k1-1", streamBody("t1-k1-1", "v1", 0), "x", 0},
		{"response to another request", false, "t1-k1-2", plainBody("t1-k1-1"), "x", 1},
		{"short", false, "t1-k1-1", "answer", "x", 1},
		{"stream without its first event", true, "t1-k1-1", streamBody("t1-k1-1", "v1", 1), "x", 1},
		{"stream of two versions", true, "t1-k1-1", strings.Replace(streamBody("t1-k1-1", "v1", 0), "6 v1", "6 v2", 1), "x", 1},
		{"stream of another request", true, "t1-k1-1", streamBody("t1-k1-2", "v1", 0), "x", 1},
		{"stream with an event twice", true, "t1-k1-1", streamBody("t1-k1-1", "v1", 0) + streamBody("t1-k1-1", "v1", 5), "x", 1},
		{"response without target stamp", false, "t1-k1-1", plainBody("t1-k1-1"), "", 1},
	} {
		c := qt.New(t)
		rec := newRecorder()
		cl := caller{soak: &Soak{recorder: rec}}
		r := &http.Response{StatusCode: 200, Header: platform.EncodeAnswer(platform.AnswerHeader{ID: test.id, Stamped: test.stamp != ""}, test.stamp)}
		cl.checkResponse(requestKind{streaming: test.stream}, requestRecord{id: "t1-k1-1", status: 200, fromEntry: test.stamp == ""}, r, []byte(test.body))
		c.Assert(rec.findings, qt.HasLen, test.found, qt.Commentf("%s", test.name))
	}
}

// TestProxy checks that bytes on a stalled link arrive after the stall, in each
// direction, and that a reset breaks the connection.
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
	c.Assert(p.healthyFor(0), qt.IsTrue)
	for _, link := range []linkState{{StallUpstream: true}, {StallDownstream: true}} {
		p.setLink(link, false)
		c.Assert(p.healthyFor(0), qt.IsFalse)
		got := make(chan error, 1)
		go func() { got <- echo() }()
		select {
		case err := <-got:
			c.Fatalf("echo over a stalled link: %v", err)
		case <-time.After(20 * time.Millisecond):
		}
		p.setLink(linkState{}, false)
		c.Assert(<-got, qt.IsNil)
	}
	p.setLink(linkState{Refuse: true}, true)
	c.Assert(echo(), qt.IsNotNil)
}

// TestPlan checks that a seed always gives the same faults, that different seeds
// give different ones, and that no event comes after the end of the run.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	s := &Soak{settings: Settings{Length: 20 * time.Second}, keys: []string{"t1-k1"}, briefKeys: []string{"t1-k3"}}
	s.settings.setDefaults()
	for i := range 3 {
		s.entries = append(s.entries, &process{soak: s, name: fmt.Sprint("front-", i)})
		s.targets = append(s.targets, &target{soak: s, address: fmt.Sprint("target-", i)})
	}
	describe := func(seed uint64) (out []string) {
		for _, e := range s.plan(rand.New(rand.NewPCG(seed, 1))) {
			c.Assert(e.at <= s.settings.Length, qt.IsTrue)
			out = append(out, fmt.Sprint(e.at, e.description))
		}
		return out
	}
	c.Assert(describe(7), qt.DeepEquals, describe(7))
	c.Assert(describe(7), qt.Not(qt.DeepEquals), describe(8))
	c.Assert(len(describe(7)) > 10, qt.IsTrue)
}

// Guards against findings of the check recover for kinds of requests that were not sent, as those
// of another kind were not served.
func TestCheckRecoveryTriesEveryKind(t *testing.T) {
	c := qt.New(t)
	ip := fmt.Sprintf("127.%d.%d.%d", 216+rand.IntN(30), rand.IntN(250), 1+rand.IntN(250))
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(callersPort)))
	c.Assert(err, qt.IsNil)
	go fake.NewTarget("entry", func(r *http.Request, _ []byte) *fake.TargetResponse {
		status := http.StatusOK
		if strings.HasPrefix(r.URL.Path, kinds[0].path) {
			status = http.StatusServiceUnavailable
		}
		return &fake.TargetResponse{Status: status}
	}).Serve(l)
	s := &Soak{recorder: newRecorder(), lag: &lagMonitor{}, keys: []string{"t1-k1"}, badPart: &crashCheck{}, badRequest: &crashCheck{}}
	s.checkRecoveryOf(&process{soak: s, name: "front-1", ip: ip}, time.Now().Add(5*pollInterval))
	c.Assert(l.Close(), qt.IsNil)
	var found []string
	for _, f := range s.recorder.findings {
		if f.Check == "recover" {
			found = append(found, f.Detail)
		}
	}
	c.Assert(found, qt.HasLen, 1)
	c.Assert(found[0], qt.Matches, "entry front-1 does not serve "+kinds[0].path+" .* status 503 at the last of .* attempts")
}

// checks returns the names of the violated checks, in the order of the findings.
func checks(r *recorder) []string {
	var names []string
	for _, f := range r.findings {
		names = append(names, f.Check)
	}
	return names
}

// TestCheckRequest checks that a request to a target is a finding if it has a wrong
// team, a key or the body of another request, or if its key was withdrawn longer ago
// than the revocation time.
func TestCheckRequest(t *testing.T) {
	correctHeader := func() platform.ReceivedHeader {
		return platform.ReceivedHeader{ID: "t1-k1-c-1", Teams: []string{"t1"}}
	}
	for _, test := range []struct {
		name   string
		body   string
		modify func(h *platform.ReceivedHeader)
		since  time.Duration // time since the key was withdrawn; 0 if it is valid
		found  []string
	}{
		{name: "right", body: requestBody("t1-k1-c-1"), modify: func(*platform.ReceivedHeader) {}},
		{"no team", requestBody("t1-k1-c-1"), func(h *platform.ReceivedHeader) { h.Teams = nil }, 0, []string{"unasked"}},
		{"another team", requestBody("t1-k1-c-1"), func(h *platform.ReceivedHeader) { h.Teams = []string{"forged"} }, 0, []string{"unasked"}},
		{"two teams", requestBody("t1-k1-c-1"), func(h *platform.ReceivedHeader) { h.Teams = []string{"t1", "forged"} }, 0, []string{"unasked"}},
		{"key", requestBody("t1-k1-c-1"), func(h *platform.ReceivedHeader) { h.Secret = "t1-k1" }, 0, []string{"unasked"}},
		{"body of another request", requestBody("t1-k1-c-2"), func(*platform.ReceivedHeader) {}, 0, []string{"mixed"}},
		{"key within the revocation time", requestBody("t1-k1-c-1"), func(*platform.ReceivedHeader) {}, revokeTime / 2, nil},
		{"withdrawn", requestBody("t1-k1-c-1"), func(*platform.ReceivedHeader) {}, 2 * revokeTime, []string{"revoked"}},
	} {
		c := qt.New(t)
		r := newRecorder()
		if test.since > 0 {
			r.withdrawn["t1-k1"] = time.Now().Add(-test.since)
		}
		tgt := &target{soak: &Soak{recorder: r}, proxy: &proxy{}}
		h := correctHeader()
		test.modify(&h)
		tgt.checkRequest(received{ReceivedHeader: h}, []byte(test.body))
		c.Assert(checks(r), qt.DeepEquals, test.found, qt.Commentf("%s", test.name))
	}
}

// TestConflictingOrdersAndUsage checks that orders from two lease holders to one
// engine are a finding, and that different usage reports of one window are another.
func TestConflictingOrdersAndUsage(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	s := &Soak{recorder: r, store: fake.NewRowStore()}
	tgt := &target{soak: s, role: radishspoke.DecodeRole, instance: "i-1"}
	sendOrder := func(holder string, after int64) int {
		body, _, err := platform.EncodeOrder(platform.RoleOrder{Role: radishspoke.PrefillRole, Holder: holder, Epoch: 1, After: after})
		c.Assert(err, qt.IsNil)
		return tgt.applyOrder(body).Status
	}
	c.Assert(sendOrder("side-1", 0), qt.Equals, http.StatusAccepted)
	c.Assert(sendOrder("side-1", 0), qt.Equals, http.StatusConflict)
	c.Assert(checks(r), qt.HasLen, 0)
	c.Assert(sendOrder("side-2", 1), qt.Equals, http.StatusAccepted)
	c.Assert(checks(r), qt.DeepEquals, []string{"one"})

	server := httptest.NewServer(s.store)
	defer server.Close()
	client := platform.New(platform.Settings{Duties: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, ticker.BootClock{})
	report := func(n int64) {
		c.Assert(client.ReportUsage(t.Context(), platform.Tenure{Holder: "front-1", Epoch: 1}, 7, map[string]int64{"t1": n}), qt.IsNil)
	}
	report(3)
	report(3) // an identical report is no finding
	s.checkUsage()
	c.Assert(checks(r), qt.DeepEquals, []string{"one"})
	report(4)
	s.checkUsage()
	c.Assert(checks(r), qt.DeepEquals, []string{"one", "one"})
}

// TestFenceOfTwoHolders checks that usage that two holders report with one fencing token is a
// finding.
func TestFenceOfTwoHolders(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	s := &Soak{recorder: r, store: fake.NewRowStore()}
	server := httptest.NewServer(s.store)
	defer server.Close()
	client := platform.New(platform.Settings{Duties: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, ticker.BootClock{})
	for n, tenure := range []platform.Tenure{{Holder: "front-1", Epoch: 1}, {Holder: "front-1", Epoch: 1}, {Holder: "front-2", Epoch: 2}, {Holder: "front-1", Epoch: 2}} {
		c.Assert(client.ReportUsage(t.Context(), tenure, int64(n), nil), qt.IsNil)
		s.checkFences()
		c.Assert(checks(r), qt.HasLen, max(0, n-2))
	}
}

// TestCheckIncomplete checks requests without a complete response. Such a request is
// a finding if the caller waited up to the limit, or if the connection broke before
// the response header. It is none around a kill of the entry, or if the scheduling
// delay of this program explains the wait.
func TestCheckIncomplete(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	cl := caller{soak: &Soak{recorder: r, lag: &lagMonitor{}}}
	const limit = time.Second
	began := time.Now().Add(-limit)
	healthy, killed := &process{name: "front-1"}, &process{name: "front-2", disturbedAt: time.Now()}
	for _, p := range []*process{killed, healthy} {
		cl.checkIncomplete(requestRecord{id: "held"}, p, began, limit, limit, io.ErrUnexpectedEOF)
		cl.checkIncomplete(requestRecord{id: "cut"}, p, began, limit/2, limit, io.ErrUnexpectedEOF)
		cl.checkIncomplete(requestRecord{id: "broken off", status: 200}, p, began, limit/2, limit, io.ErrUnexpectedEOF)
	}
	c.Assert(checks(r), qt.DeepEquals, []string{"held", "lost"})
	// The scheduling delay of this program explains the late response.
	cl.soak.lag.samples = []lagSample{{time.Now(), limit}}
	cl.checkIncomplete(requestRecord{id: "late"}, healthy, began, limit, limit, io.ErrUnexpectedEOF)
	c.Assert(checks(r), qt.HasLen, 2)
}
