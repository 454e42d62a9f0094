package soaker

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/platform"
)

// kind is a kind of request.
type kind struct {
	path   string
	most   int  // times that it may run
	stream bool // of events
	long   bool // its prompt is read by an engine of its own
}

var kinds = []kind{
	{path: "/order/", most: 1},
	{path: "/stock/", most: 2},
	{path: "/phone/", most: 2, stream: true},
	{path: "/fit/", most: 1, stream: true, long: true},
	{path: "/form/", most: 2, stream: true, long: true},
}

const (
	// bodyWords is the length of a body in words; long enough to be split
	// over several packets of a slow way.
	bodyWords = 400

	// Tokens of prompts. Those with a long part of their own are read apart.
	shortPrompt  = 100
	sharedPrompt = 6300
	longPrompt   = 2890

	heldSlack = 500 * time.Millisecond // after the time budget, for the answer
	mostThink = 30 * time.Millisecond  // between two requests of a caller
	leaveRate = 0.04                   // of callers that leave early
	moveRate  = 0.05                   // of callers that go to another entry between requests
)

// consumer is one caller with one connection at a time.
type consumer struct {
	soak   *Soak
	name   string
	random *rand.Rand
	number int
	entry  *host
	conn   net.Conn
	in     *bufio.Reader
}

// drop closes the connection.
func (k *consumer) drop() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn, k.entry = nil, nil
}

// connect connects to an entry that is ready; false if there is none.
func (k *consumer) connect() bool {
	if k.conn != nil && k.random.Float64() > moveRate {
		return true
	}
	k.drop()
	var ready []*host
	for _, h := range k.soak.entries {
		if h.isReady() {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		return false
	}
	return k.connectTo(ready[k.random.IntN(len(ready))])
}

func (k *consumer) connectTo(h *host) bool {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(h.ip, strconv.Itoa(callersPort)), time.Second)
	if err != nil {
		return false
	}
	k.entry, k.conn, k.in = h, conn, bufio.NewReader(conn)
	return true
}

// run asks until the soak's callers stop.
func (k *consumer) run(stop <-chan struct{}) {
	defer k.drop()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(k.random.IntN(int(mostThink)))):
		}
		if k.connect() {
			k.ask(kinds[k.random.IntN(len(kinds))])
		}
	}
}

// ask sends one request, takes its answer and checks both. It returns the
// status, 0 if there was no whole answer.
func (k *consumer) ask(n kind) int {
	k.number++
	key := k.soak.keys[k.random.IntN(len(k.soak.keys))]
	id := fmt.Sprintf("%s-%s-%d", key, k.name, k.number)
	team, _ := teamOf(id)
	budget := time.Duration(600+k.random.IntN(1400)) * time.Millisecond
	leaves := k.random.Float64() < leaveRate
	a := asked{id: id, team: team, key: key, entry: k.entry.name, most: n.most}
	began := time.Now()
	limit := budget + heldSlack
	if leaves {
		limit = time.Duration(k.random.IntN(40)) * time.Millisecond
	}
	_ = k.conn.SetDeadline(began.Add(limit)) // can't fail on an open connection
	err := k.send(n, id, key, budget)
	var r *http.Response
	var got []byte
	if err == nil {
		r, err = http.ReadResponse(k.in, nil)
	}
	if err == nil {
		a.status, a.own = r.StatusCode, !platform.DecodeAnswer(r.StatusCode, r.Header).Stamped
		got, err = io.ReadAll(r.Body)
	}
	took := time.Since(began)
	entry := k.entry
	if err != nil || r.Close {
		k.drop()
	}
	k.soak.ledger.note(a)
	switch {
	case leaves:
		if err == nil {
			k.check(n, a, r, got)
			return a.status
		}
		return 0
	case err != nil:
		k.broken(a, entry, began, took, limit, err)
		return 0
	}
	k.check(n, a, r, got)
	return a.status
}

// send sends one request, with a header that only the system may set.
func (k *consumer) send(n kind, id, key string, budget time.Duration) error {
	in := platform.CallerHeader{ID: id, Secret: key, Deadline: budget, Generation: &radishspoke.GenerationInfo{Prompt: shortPrompt, Output: streamEvents}}
	if n.long {
		in.Generation.Prompt = sharedPrompt + longPrompt
		in.Generation.Parts = []radishspoke.PromptPart{{ID: "shared", Tokens: sharedPrompt}, {ID: id, Tokens: longPrompt}}
	}
	h := platform.EncodeRequest(in)
	platform.ForgeTeam(h, "forged")
	r, err := http.NewRequest(http.MethodPost, "http://"+hostName+n.path+"x", strings.NewReader(bodyOf(id)))
	if err != nil {
		return errors.Wrap(err, "make a request")
	}
	r.Header = h
	return errors.Wrap(r.Write(k.conn), "send a request")
}

// broken looks at a request without a whole answer. A stream that was broken off
// has its head, and a caller who waited to the limit was held.
func (k *consumer) broken(a asked, entry *host, began time.Time, took, limit time.Duration, err error) {
	if entry.disturbed(began) {
		return
	}
	if took >= limit {
		if lag := k.soak.lag.since(began); took < limit+lag || lag > heldSlack/2 {
			return // this program was not run in time
		}
		k.soak.ledger.find("held", a.id, "entry %s gave no whole answer in %v (status so far %d): %v", entry.name, took, a.status, err)
		return
	}
	if a.status == 0 {
		k.soak.ledger.find("lost", a.id, "entry %s cut the request after %v: %v", entry.name, took, err)
	}
}

// check looks at a whole answer.
func (k *consumer) check(n kind, a asked, r *http.Response, got []byte) {
	l := k.soak.ledger
	if id := platform.RequestID(r.Header); id != a.id {
		l.find("mixed", a.id, "answer %d is to request %q", a.status, id)
	}
	if a.status != http.StatusOK {
		return
	}
	want := wholeAnswer(a.id)
	if n.stream {
		want = events(a.id, 0)
	}
	if string(got) != want {
		l.find("mixed", a.id, "answer of entry %s is %q, want %q", a.entry, got, want)
	}
	if a.own {
		l.find("mixed", a.id, "answer of entry %s bears no target's stamp", a.entry)
	}
}
