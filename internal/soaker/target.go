package soaker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke/internal/fake"
	"radishspoke/platform"
)

// target is an engine or a plain service, behind a proxy.
type target struct {
	*proxy
	soak    *Soak
	service string
	address string // of the proxy, as it is listed
	backend net.Listener

	mu      sync.Mutex
	random  *rand.Rand
	id      string // of the lifetime
	lives   int
	role    string // empty for a plain service
	orders  int
	holder  string          // of the first order
	handles map[string]bool // that nobody has taken
	number  int
	sick    bool // some of its answers are wrong
}

// newTarget starts a target at an address whose port is listenPort.
func newTarget(s *Soak, ip, service, role string, seed uint64) (*target, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "listen for a target")
	}
	t := &target{
		soak: s, service: service, role: role, address: net.JoinHostPort(ip, strconv.Itoa(targetPort)), backend: l,
		random: rand.New(rand.NewPCG(seed, 7)), handles: map[string]bool{},
	}
	if t.proxy, err = newProxy(t.address, l.Addr().String()); err != nil {
		return nil, err
	}
	t.live()
	return t, nil
}

// live begins a lifetime; an earlier one ends.
func (t *target) live() {
	t.mu.Lock()
	old := t.id
	t.lives++
	t.id = fmt.Sprintf("%s-%s-%d", t.service, strings.ReplaceAll(t.address, ".", "-"), t.lives)
	t.handles = map[string]bool{}
	t.orders = 0
	id := t.id
	t.mu.Unlock()
	go fake.NewTarget(id, func(r *http.Request, body []byte) *fake.TargetAnswer { return t.answer(id, r, body) }).Serve(t.backend)
	if old != "" {
		t.soak.store.Drop(platform.InstanceTable, old)
	}
	t.list("ready")
}

// restart ends the lifetime and begins another one at the same address.
func (t *target) restart() {
	address := t.backend.Addr().String()
	_ = t.backend.Close()
	t.set(Link{}, true)
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.soak.ledger.find("soak", "", "target not restarted: %v", err)
		return
	}
	t.mu.Lock()
	t.backend = l
	t.mu.Unlock()
	t.live()
}

// list writes the target's row.
func (t *target) list(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"Service": t.service, "Address": t.address, "Zone": "a", "State": state, "Slots": 16, "Phase": t.role,
		"Sequence": time.Now().UnixMilli(), "born": time.Now().UnixMilli(),
	})
	if err != nil {
		t.soak.ledger.find("soak", "", "row not encoded: %v", err)
		return
	}
	t.soak.store.Put(platform.InstanceTable, t.id, data)
}

// notExecuted is a target's refusal.
func notExecuted(status int) *fake.TargetAnswer {
	return &fake.TargetAnswer{Status: status, Header: http.Header{fake.HeaderNotRun: {"1"}}}
}

// answer answers one request to a lifetime of the target.
func (t *target) answer(id string, r *http.Request, body []byte) *fake.TargetAnswer {
	t.mu.Lock()
	pause := time.Duration(t.random.IntN(20)) * time.Millisecond
	current, role := t.id == id, t.role
	illness := 1.0 // of this answer
	if t.sick {
		illness = t.random.Float64()
	}
	t.mu.Unlock()
	if !current {
		return nil
	}
	switch {
	case r.URL.Path == platform.ReportPath:
		t.mu.Lock()
		defer t.mu.Unlock()
		return &fake.TargetAnswer{Status: 200, Body: fmt.Sprintf(`{"Phase":%q,"Sequence":%d}`, t.role, t.orders)}
	case r.URL.Path == platform.OrderPath:
		return t.order(body)
	case r.Method == http.MethodDelete:
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.handles, r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		return &fake.TargetAnswer{Status: 200}
	case r.Header.Get(fake.HeaderInstance) != id:
		return notExecuted(http.StatusMisdirectedRequest)
	}
	time.Sleep(pause)
	request := r.Header.Get(fake.HeaderID)
	t.check(request, r, body)
	if illness < refuseRate {
		return notExecuted(http.StatusServiceUnavailable)
	}
	if role == "" {
		t.soak.ledger.ran(request, id)
		return spoil(stamped(id, "text/plain", wholeAnswer(request)), illness)
	}
	if r.Header.Get(fake.HeaderStage) != "" {
		if role != "prefill" {
			return notExecuted(http.StatusMisdirectedRequest)
		}
		t.mu.Lock()
		t.number++
		handle := strconv.Itoa(t.number)
		t.handles[handle] = true
		t.mu.Unlock()
		return &fake.TargetAnswer{Status: 200, Body: fmt.Sprintf(`{"Handle":%q,"Tokens":9190,"Version":1}`, handle)}
	}
	if role != "decode" || !t.soak.take(r.Header.Get(fake.HeaderSource)) {
		return notExecuted(http.StatusServiceUnavailable)
	}
	t.soak.ledger.ran(request, id)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream
	stream := stamped(id, "text/event-stream", events(request, after))
	stream.Chunked = true
	return spoil(stream, illness)
}

// Shares of a sick target's answers; the rest is right.
const (
	refuseRate = 0.15
	dropRate   = 0.15 // the request runs, and nothing comes back
	cutRate    = 0.15 // the answer ends early
	strayRate  = 0.15 // bytes of nobody's come ahead of it
)

// spoil makes an answer wrong, depending on a draw from [0, 1).
func spoil(a *fake.TargetAnswer, draw float64) *fake.TargetAnswer {
	switch draw -= refuseRate; {
	case draw < dropRate:
		return nil
	case draw < dropRate+cutRate:
		a.Cut = len(a.Body) / 2
	case draw < dropRate+cutRate+strayRate:
		a.Before = "HTTP/1.1 200 OK\r\n" + fake.HeaderID + ": nobody\r\nContent-Length: 5\r\n\r\nstray"
	}
	return a
}

// sicken makes the target sick, or well.
func (t *target) sicken(sick bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sick = sick
}

// check looks at what the system says to a target.
func (t *target) check(request string, r *http.Request, body []byte) {
	l := t.soak.ledger
	team, key := teamOf(request)
	if got := r.Header.Values(fake.HeaderTeam); len(got) != 1 || got[0] != team {
		l.find("unasked", request, "team is %q, want %q", got, team)
	}
	if got := r.Header.Get(fake.HeaderKey); got != "" {
		l.find("unasked", request, "key %q reached a target", got)
	}
	if string(body) != bodyOf(request) {
		l.find("mixed", request, "body of %d bytes is of another request", len(body))
	}
	// Bytes that a proxy held back were sent earlier.
	if late := l.overdue(key); late > 0 && t.sound(revokeTime) {
		l.find("revoked", request, "key %s started work %v after its time", key, late)
	}
}

// take takes a handle, as an engine does that is to go on with it. Without one
// the engine reads the prompt itself.
func (s *Soak) take(source string) bool {
	if source == "" {
		return true
	}
	address, handle, _ := strings.Cut(source, "/")
	for _, t := range s.targets {
		if t.address != address {
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		ok := t.handles[handle]
		delete(t.handles, handle)
		return ok
	}
	return false
}

// order takes an order to change the role, at once.
func (t *target) order(body []byte) *fake.TargetAnswer {
	var o struct {
		Op, Phase, Holder string
		ExpectedRevision  int
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return &fake.TargetAnswer{Status: http.StatusBadRequest}
	}
	t.mu.Lock()
	if t.holder == "" {
		t.holder = o.Holder
	}
	if t.holder != o.Holder {
		t.soak.ledger.find("one", "", "engine %s was ordered by %s and by %s", t.id, t.holder, o.Holder)
	}
	if o.ExpectedRevision != t.orders {
		t.mu.Unlock()
		return &fake.TargetAnswer{Status: http.StatusConflict}
	}
	t.orders++
	t.role = o.Phase
	t.mu.Unlock()
	t.list("ready")
	return &fake.TargetAnswer{Status: http.StatusAccepted}
}

func stamped(id, kind, body string) *fake.TargetAnswer {
	return &fake.TargetAnswer{Status: 200, Header: http.Header{fake.HeaderStamp: {id}, "Content-Type": {kind}}, Body: body}
}

// What a request of an id must be answered with, and is sent with.

func wholeAnswer(request string) string { return "answer to " + request }

const streamEvents = 6

func events(request string, after int) string {
	var b strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n, request, n)
	}
	return b.String()
}

func bodyOf(request string) string { return strings.Repeat(request+" ", bodyWords) }

// teamOf returns the team and key that a request's id names.
func teamOf(request string) (team, key string) {
	p := strings.SplitN(request, "-", 3)
	if len(p) < 3 {
		return "", ""
	}
	return p[0], p[0] + "-" + p[1]
}
