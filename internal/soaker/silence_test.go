package soaker

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
	"radishspoke/platform"
)

// TestSilence checks that a silent target sends only the first half of an answer, reads no
// request from a moment on, and goes on with both at the end.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var s silence
		s.hold()
		header := func(id string, prefill bool) http.Header {
			return platform.EncodeTargetHeader(platform.EncodeRequest(platform.CallerHeader{ID: id, Deadline: time.Second}), platform.TargetHeader{Remaining: time.Second, PrefillOnly: prefill})
		}
		c.Assert(s.await(header("early", false)), qt.Equals, time.Duration(0))
		s.begin()
		began := time.Now()
		c.Assert(s.await(header("read", false)), qt.Equals, time.Duration(0))
		halted, waited, prefill := make(chan time.Duration, 1), make(chan time.Duration, 1), make(chan time.Duration, 1)
		go func() {
			s.hold()
			halted <- time.Since(began)
		}()
		time.Sleep(minSilence / 2)
		s.stopReading()
		go func() { waited <- s.await(header("waits", false)) }()
		go func() { prefill <- s.await(header("prefill", true)) }()
		synctest.Wait()
		c.Assert([]bool{s.waits("read"), s.waits("waits"), s.waits("prefill")}, qt.DeepEquals, []bool{false, true, false})
		time.Sleep(minSilence / 2)
		s.end()
		c.Assert(<-halted, qt.Equals, minSilence)
		c.Assert([]time.Duration{<-waited, <-prefill}, qt.DeepEquals, []time.Duration{minSilence / 2, minSilence / 2})
		c.Assert(s.waits("waits"), qt.IsFalse)
		s.hold()
		c.Assert(s.halted.Load(), qt.Equals, int64(1))
	})
}

// TestHalfway checks that half of an answer has arrived when the target stops in its middle,
// and that the answer is complete once it goes on.
func TestHalfway(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		c := qt.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		goOn := make(chan struct{})
		const body = "first second"
		go fake.NewTarget("i-1", func(*http.Request, []byte) *fake.TargetResponse {
			return &fake.TargetResponse{Status: http.StatusOK, Body: body, Chunked: chunked, Halfway: func() { <-goOn }}
		}).Serve(l)
		conn, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		half := make([]byte, len(body)/2)
		_, err = io.ReadFull(r.Body, half)
		c.Assert(err, qt.IsNil)
		close(goOn)
		rest, err := io.ReadAll(r.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(half)+string(rest), qt.Equals, body)
		c.Assert(conn.Close(), qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
	}
}

// TestPlanSilences checks that the silences of a target do not overlap, that all are over by the
// end of the run, and that some come beside a change of the configuration, a planned stop and
// the withdrawal of a key, which is added again.
func TestPlanSilences(t *testing.T) {
	c := qt.New(t)
	s := &Soak{settings: Settings{Length: time.Minute}, briefKeys: []string{"t1-k3", "t2-k3"}}
	s.settings.setDefaults()
	s.entries = []*process{{name: "front-1"}}
	for i := range s.settings.Engines + plainTargets {
		s.targets = append(s.targets, &target{soak: s, address: fmt.Sprint("target-", i)})
	}
	end := map[string]time.Duration{}
	last := "" // target of the last silence
	kinds := map[string]int{}
	var began, withdrawn time.Duration
	overlaps := 0 // withdrawals that begin before the last silence has ended
	s.planSilences(rand.New(rand.NewPCG(7, 6)), func(at time.Duration, _ func(), format string, args ...any) {
		c.Assert(at <= s.settings.Length, qt.IsTrue)
		kinds[format]++
		if strings.Contains(format, "falls silent") {
			address, long := args[0].(string), args[1].(time.Duration)
			last = address
			c.Assert(at >= end[address], qt.IsTrue)
			c.Assert(minSilence <= long && long < maxSilence, qt.IsTrue)
			end[address], began = at+long, at
		}
		if strings.Contains(format, "withdraw") {
			c.Assert(args[0] == "t1-k3" || args[0] == "t2-k3", qt.IsTrue)
			withdrawn = at
			if began <= at && at < end[last] {
				overlaps++
			}
		}
		if strings.Contains(format, "valid again") {
			c.Assert(minWithdrawal <= at-withdrawn && at-withdrawn < maxWithdrawal, qt.IsTrue)
		}
		if strings.Contains(format, "goes on") {
			c.Assert(at, qt.Equals, end[args[0].(string)])
		}
	})
	c.Assert(end, qt.HasLen, s.settings.Engines/2+plainTargets)
	c.Assert(kinds["target %s falls silent for %v"], qt.Equals, kinds["target %s goes on"])
	c.Assert(overlaps > 10, qt.IsTrue)
	c.Assert(overlaps, qt.Equals, kinds["withdraw key %s beside the silence"])
	c.Assert(kinds["key %s is valid again"], qt.Equals, kinds["withdraw key %s beside the silence"])
	c.Assert(kinds["the configuration changes"] > 0 && kinds["restart %s"] > 0, qt.IsTrue)
}

// TestCheckCut checks that a request that failed before the end of its time budget is a finding
// if a sound target ran it or had not read it yet, and none if its target or a process on its way
// was disturbed.
func TestCheckCut(t *testing.T) {
	began := time.Now().Add(-time.Second)
	for _, test := range []struct {
		name   string
		modify func(k *requestKind, q *requestRecord, t *target, entry, sidecar *process)
		budget time.Duration
		err    error
		found  int
	}{
		{name: "cut", budget: time.Hour, err: io.ErrUnexpectedEOF, found: 1},
		{name: "complete", budget: time.Hour},
		{name: "late", budget: time.Second / 2, err: io.ErrUnexpectedEOF},
		{name: "no response header", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, q *requestRecord, _ *target, _, _ *process) { q.status = 0 }},
		{name: "failure", budget: time.Hour, found: 1, modify: func(_ *requestKind, q *requestRecord, _ *target, _, _ *process) { q.status, q.fromEntry = 502, true }},
		{name: "failure of the target", budget: time.Hour, modify: func(_ *requestKind, q *requestRecord, _ *target, _, _ *process) { q.status = 502 }},
		{name: "refusal", budget: time.Hour, modify: func(_ *requestKind, q *requestRecord, _ *target, _, _ *process) { q.status, q.fromEntry = 503, true }},
		{name: "unread", budget: time.Hour, err: io.ErrUnexpectedEOF, found: 1, modify: func(_ *requestKind, q *requestRecord, t *target, _, _ *process) {
			q.id, t.silence.waiting = "waits", map[string]bool{"waits": true}
		}},
		{name: "not at the target", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, q *requestRecord, _ *target, _, _ *process) { q.id = "other" }},
		{name: "restarted", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, _ *requestRecord, t *target, _, _ *process) { t.instance = "i-2" }},
		{name: "crashed", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, _ *requestRecord, t *target, _, _ *process) { t.down = true }},
		{name: "faulty", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, _ *requestRecord, t *target, _, _ *process) { t.setFaulty(false) }},
		{name: "faulty link", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, _ *requestRecord, t *target, _, _ *process) { t.link.Refuse = true }},
		{name: "reset", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, _ *requestRecord, t *target, _, _ *process) { t.resetAt = time.Now() }},
		{name: "entry killed", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(_ *requestKind, _ *requestRecord, _ *target, entry, _ *process) { entry.disturbedAt = time.Now() }},
		{name: "sidecar killed", budget: time.Hour, err: io.ErrUnexpectedEOF, found: 1, modify: func(_ *requestKind, _ *requestRecord, _ *target, _, sidecar *process) {
			sidecar.disturbedAt = time.Now()
		}},
		{name: "sidecar killed beside a long prompt", budget: time.Hour, err: io.ErrUnexpectedEOF, modify: func(k *requestKind, _ *requestRecord, _ *target, _, sidecar *process) {
			k.longPrompt, sidecar.disturbedAt = true, time.Now()
		}},
	} {
		c := qt.New(t)
		entry, sidecar := &process{name: "front-1"}, &process{name: "side-1"}
		tgt := &target{proxy: &proxy{}, instance: "i-1"}
		s := &Soak{recorder: newRecorder(), sidecars: []*process{sidecar}, targets: []*target{tgt}}
		s.recorder.addExecution("cut", "i-1")
		k, q := requestKind{}, requestRecord{id: "cut", status: http.StatusOK}
		if test.modify != nil {
			test.modify(&k, &q, tgt, entry, sidecar)
		}
		cl := caller{soak: s}
		cl.checkCut(k, q, entry, began, test.budget, test.err)
		c.Assert(s.recorder.findings, qt.HasLen, test.found, qt.Commentf("%s", test.name))
	}
}
