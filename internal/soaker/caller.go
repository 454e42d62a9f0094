package soaker

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/platform"
)

// requestKind is a kind of request, for one route.
type requestKind struct {
	path       string
	maxRuns    int  // maximum number of targets that run a request; with 1, it runs once
	resumable  bool // the response may be resumed after a part of it
	streaming  bool // the response is a stream of events
	longPrompt bool // the prompt is prefilled by a separate engine
}

var kinds = []requestKind{
	{path: "/order/", maxRuns: 1},
	{path: "/stock/", maxRuns: 2},
	{path: "/phone/", maxRuns: 2, streaming: true, resumable: true},
	{path: "/fit/", maxRuns: 1, streaming: true, longPrompt: true},
	{path: "/form/", maxRuns: 2, streaming: true, longPrompt: true, resumable: true},
}

const (
	// bodyWords is the length of a request body in words. It makes a body long
	// enough to be split over several packets on a slow link.
	bodyWords = 400

	// Prompt lengths in tokens. A long prompt consists of a prefix that all long
	// prompts share and of a suffix of its own. As the suffix is long, too, the
	// prompt is prefilled by a separate engine.
	shortPromptTokens  = 100
	sharedPrefixTokens = 6300
	uniqueSuffixTokens = 2890

	budgetSlack   = 500 * time.Millisecond // time after the end of the time budget within which the response must be complete
	leavers       = 4                      // further callers that abandon all requests
	maxThinkTime  = 30 * time.Millisecond  // longest pause of a caller between two requests
	abandonRate   = 0.04                   // share of requests that the caller abandons early
	reconnectRate = 0.05                   // share of requests before which the caller opens a new connection
)

// caller sends requests to the entries, over one connection at a time.
type caller struct {
	soak     *Soak
	name     string
	random   *rand.Rand
	stages   *rand.Rand // of the times at which it leaves
	leaves   bool       // it leaves before the answer to each request
	requests int        // sent so far; part of the request ID
	entry    *process
	conn     net.Conn
	reader   *bufio.Reader // of the caller itself

	sent, limit time.Time // of the request in progress; limit is zero if it must not be extended
}

// newCaller returns a caller without a connection, whose random numbers are from a stream of the seed.
func newCaller(s *Soak, name string, stream uint64) *caller {
	const stagesStream = 1 << 16 // added to the stream
	return &caller{
		soak: s, name: name,
		random: rand.New(rand.NewPCG(s.settings.Seed, stream)), stages: rand.New(rand.NewPCG(s.settings.Seed, stagesStream+stream)),
	}
}

// Read reads from the connection. Once the limit has passed, it goes on for the time for which the
// entry has waited for a processor since the request was sent.
func (c *caller) Read(b []byte) (int, error) {
	for {
		n, err := c.conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.limit.IsZero() {
			return n, err
		}
		end := c.limit.Add(c.entry.delays.sumSince(c.sent))
		if !time.Now().Before(end) {
			return n, err
		}
		if err := c.conn.SetDeadline(end); err != nil {
			return n, err
		}
	}
}

// disconnect closes the connection, if there is one.
func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.entry = nil, nil
}

// connect opens a connection to a random entry that is ready, if there is no
// connection yet. It replaces an existing one with probability reconnectRate. It
// reports whether there is a connection.
func (c *caller) connect() bool {
	if c.conn != nil && c.random.Float64() > reconnectRate {
		return true
	}
	c.disconnect()
	var ready []*process
	for _, p := range c.soak.entries {
		if p.isReady() {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		return false
	}
	return c.connectTo(ready[c.random.IntN(len(ready))])
}

// connectTo connects to an entry and reports whether that succeeded.
func (c *caller) connectTo(p *process) bool {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(p.ip, strconv.Itoa(callersPort)), time.Second)
	if err != nil {
		return false
	}
	c.entry, c.conn, c.reader = p, conn, bufio.NewReader(c)
	return true
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.IntN(int(maxThinkTime)))):
		}
		if c.connect() {
			c.do(kinds[c.random.IntN(len(kinds))])
		}
	}
}

// do sends one request and checks its response. It returns the HTTP status, or 0 if
// there was no complete response. There must be a connection.
func (c *caller) do(k requestKind) int {
	c.requests++
	key := c.soak.drawKey(c.random)
	id := fmt.Sprintf("%s-%s-%d", key, c.name, c.requests)
	bad := k.path == badPrefix && c.soak.badRequest.draw(c.random)
	if bad {
		key = badKey
		id = fmt.Sprintf("%s-%s-%d", key, c.name, c.requests)
	}
	team, _ := teamOf(id)
	budget := time.Duration(600+c.random.IntN(1400)) * time.Millisecond
	abandons := c.random.Float64() < abandonRate || c.leaves
	began := time.Now()
	q := requestRecord{id: id, team: team, key: key, entry: c.entry.name, sent: began, maxRuns: k.maxRuns}
	limit := budget + budgetSlack
	if abandons {
		limit = time.Duration(c.random.IntN(40)) * time.Millisecond
		if c.stages.IntN(2) == 0 { // at any stage of the request
			limit = time.Duration(c.stages.Int64N(int64(budget)))
		}
	}
	_ = c.conn.SetDeadline(began.Add(limit)) // can't fail on an open connection
	if c.sent, c.limit = began, began.Add(limit); abandons {
		c.limit = time.Time{}
	}
	err := c.send(k, attempt{id: id}, key, budget, bad)
	var r *http.Response
	var body []byte
	if err == nil {
		r, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		q.status, q.fromEntry = r.StatusCode, !platform.DecodeAnswer(r.StatusCode, r.Header).Stamped
		body, err = io.ReadAll(r.Body)
	}
	elapsed := time.Since(began)
	if err == nil && elapsed > limit {
		c.soak.recorder.addDelayed()
	}
	entry := c.entry
	if err != nil || r.Close {
		c.disconnect()
	}
	if abandons && errors.Is(err, os.ErrDeadlineExceeded) {
		c.soak.departures.add(id, departure{entry: entry, sent: began, plain: !k.streaming})
	}
	q.complete = err == nil
	c.soak.recorder.addRequest(q)
	if q.status == http.StatusUnauthorized && q.fromEntry {
		c.soak.checkRefusedKey(q, entry, began)
	}
	if !abandons {
		c.checkCut(k, q, entry, began, budget, err)
	}
	switch {
	case abandons:
		if err == nil {
			c.checkResponse(k, q, r, body)
			return q.status
		}
		return 0
	case err != nil:
		c.checkIncomplete(q, entry, began, elapsed, limit, err)
		if k.resumable && q.status == http.StatusOK {
			c.resume(k, q, body, began.Add(budget))
		}
		return 0
	}
	c.checkResponse(k, q, r, body)
	return q.status
}

// attempt is one attempt of a caller. For one that resumes a stream, resumes is the ID of the
// request that began it and after the number of its last event.
type attempt struct {
	id, resumes string
	after       int
}

// maxResumptions is the maximum number of attempts to resume a stream.
const maxResumptions = 4

// resume resumes a stream that was broken off after the given part, until it is complete or
// its deadline has passed. All events must be from one software version.
func (c *caller) resume(k requestKind, q requestRecord, part []byte, deadline time.Time) {
	rec, release := c.soak.recorder, &c.soak.release
	software, last, fault := checkStream(q.id, 0, string(part))
	if fault != "" {
		rec.addFinding("mixed", q.id, "part of a stream from entry %s: %s", q.entry, fault)
	}
	if last == 0 || fault != "" {
		return
	}
	stream := q.id
	for n := 1; n <= maxResumptions && time.Until(deadline) > 0; n++ {
		time.Sleep(maxThinkTime)
		c.disconnect()
		if !c.connect() {
			continue
		}
		a := attempt{id: fmt.Sprintf("%s-r%d", stream, n), resumes: stream, after: last}
		began, entry := time.Now(), c.entry
		q.id, q.entry, q.sent, q.status, q.fromEntry, q.resumes = a.id, c.entry.name, began, 0, false, true
		_ = c.conn.SetDeadline(deadline.Add(budgetSlack)) // can't fail on an open connection
		c.limit = time.Time{}
		err := c.send(k, a, q.key, time.Until(deadline), false)
		var r *http.Response
		var body []byte
		if err == nil {
			r, err = http.ReadResponse(c.reader, nil)
		}
		if err == nil {
			q.status, q.fromEntry = r.StatusCode, !platform.DecodeAnswer(r.StatusCode, r.Header).Stamped
			body, err = io.ReadAll(r.Body)
		}
		q.complete = err == nil
		rec.addRequest(q)
		c.checkCut(k, q, entry, began, deadline.Sub(began), err)
		if q.status != http.StatusOK {
			release.recordRefusal(q.status, body)
			continue
		}
		version, newest, fault := checkStream(stream, last, string(body))
		switch {
		case fault != "":
			rec.addFinding("mixed", q.id, "resumed stream from entry %s: %s", q.entry, fault)
			return
		case version != "" && version != software:
			rec.addFinding("order", q.id, "stream that %s began goes on at %s, from entry %s", software, version, q.entry)
			return
		case err == nil && newest < streamEvents:
			rec.addFinding("order", q.id, "stream from entry %s is complete after event %d", q.entry, newest)
			return
		}
		last = newest
		if err == nil {
			release.resumed.Add(1)
			return
		}
	}
	c.disconnect()
	release.refused.Add(1)
}

// send sends one request. It includes a forged team header, which the entry must
// replace. If bad is set, the request is the one that crashes targets.
func (c *caller) send(k requestKind, a attempt, key string, budget time.Duration, bad bool) error {
	id := a.id
	h := platform.CallerHeader{ID: id, Secret: key, Deadline: budget, Generation: &radishspoke.GenerationInfo{Prompt: shortPromptTokens, Output: streamEvents}}
	if k.longPrompt {
		h.Generation.Prompt = sharedPrefixTokens + uniqueSuffixTokens
		h.Generation.Parts = []radishspoke.PromptPart{{ID: "shared", Tokens: sharedPrefixTokens}, {ID: id, Tokens: uniqueSuffixTokens}}
		if c.soak.badPart.draw(c.random) {
			h.Generation.Parts = []radishspoke.PromptPart{{ID: "shared", Tokens: sharedPrefixTokens - 1}, {ID: badPart, Tokens: 1}, {ID: id, Tokens: uniqueSuffixTokens}}
			c.soak.badPart.recordSent(id, c.entry)
		}
	}
	c.soak.limit.recordSent(id, c.entry)
	c.soak.evacuation.recordSent(id, c.entry)
	path, content := k.path+"x", requestBody(id)
	if a.resumes != "" {
		h.Resumes, h.LastEvent, content = a.resumes, strconv.Itoa(a.after), requestBody(a.resumes)
	}
	if bad {
		path, content = badPath, badBody
		c.soak.badRequest.recordSent(id, c.entry)
	}
	header := platform.EncodeRequest(h)
	platform.ForgeTeam(header, "forged")
	r, err := http.NewRequest(http.MethodPost, "http://"+hostName+path, strings.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	r.Header = header
	return errors.Wrap(r.Write(c.conn), "send request")
}

// checkIncomplete checks a request that failed with err before its response was
// complete. It adds a finding of the check held if the caller waited up to the
// limit, and one of the check lost if the connection failed before the response
// header was complete. A response may end early after its header, and any failure is
// allowed around a kill or a pause of the entry.
func (c *caller) checkIncomplete(q requestRecord, entry *process, began time.Time, elapsed, limit time.Duration, err error) {
	if entry.disturbedSince(began) {
		return
	}
	if elapsed >= limit {
		if lag := c.soak.lag.maxSince(began); elapsed < limit+lag || lag > budgetSlack/2 {
			c.soak.recorder.addDelayed()
			return // the scheduling delay of this program may be the cause
		}
		c.soak.recorder.addFinding("held", q.id, "entry %s sent no complete response in %v (status so far %d): %v", entry.name, elapsed, q.status, err)
		return
	}
	if q.status == 0 {
		c.soak.recorder.addFinding("lost", q.id, "entry %s broke off the request after %v: %v", entry.name, elapsed, err)
	}
}

// checkResponse checks a complete response.
func (c *caller) checkResponse(k requestKind, q requestRecord, r *http.Response, body []byte) {
	rec := c.soak.recorder
	if id := platform.RequestID(r.Header); id != q.id {
		rec.addFinding("mixed", q.id, "response with status %d belongs to request %q", q.status, id)
	}
	if q.status != http.StatusOK {
		return
	}
	want := plainBody(q.id)
	if k.streaming {
		software, _, fault := checkStream(q.id, 0, string(body))
		if want = streamBody(q.id, software, 0); fault != "" {
			want = "a stream: " + fault
		}
	}
	if string(body) != want {
		rec.addFinding("mixed", q.id, "response from entry %s is %q, want %q", q.entry, body, want)
	}
	if q.fromEntry {
		rec.addFinding("mixed", q.id, "response from entry %s has no target stamp", q.entry)
	}
}
