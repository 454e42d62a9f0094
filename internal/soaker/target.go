package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
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
	role    radishspoke.Role // empty for a plain service
	orders  int64
	listed  int64           // times
	holder  string          // of the first order
	handles map[string]bool // that nobody has taken
	number  int
	sick    bool // some of its answers are wrong
}

// newTarget starts a target at an IP address. Role is empty for a plain service.
func newTarget(s *Soak, ip, service string, role radishspoke.Role, seed uint64) (*target, error) {
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
	t.list()
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
func (t *target) list() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed++
	data, err := platform.EncodeInstance(radishspoke.Instance{
		Group: t.service, Address: t.address, Zone: zone, Slots: targetSlots, Role: t.role, StartTime: time.Now(),
	}, t.listed)
	if err != nil {
		t.soak.ledger.find("soak", "", "%v", err)
		return
	}
	t.soak.store.Put(platform.InstanceTable, t.id, data)
}

// refusal is a target's word that it does not run a request.
func refusal(status int) *fake.TargetAnswer {
	return &fake.TargetAnswer{Status: status, Header: platform.EncodeAnswer(platform.AnswerHeader{NotRun: true}, "")}
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
		return t.report()
	case r.URL.Path == platform.OrderPath:
		return t.order(body)
	case r.Method == http.MethodDelete:
		if handle, ok := platform.DecodeHandlePath(r.URL.Path); ok {
			t.take(handle)
		}
		return &fake.TargetAnswer{Status: http.StatusOK}
	}
	asked, err := platform.DecodeReceivedHeader(r.Header)
	if err != nil {
		t.soak.ledger.find("unasked", platform.RequestID(r.Header), "%v", err)
		return refusal(http.StatusBadRequest)
	}
	if asked.Instance != id {
		return refusal(http.StatusMisdirectedRequest)
	}
	time.Sleep(pause)
	t.check(asked, body)
	switch {
	case illness < refuseRate:
		return refusal(http.StatusServiceUnavailable)
	case asked.PrefillOnly:
		if role != radishspoke.PrefillRole {
			return refusal(http.StatusMisdirectedRequest)
		}
		return t.read()
	case role == radishspoke.PrefillRole || !t.soak.fetch(asked.CacheSource):
		return refusal(http.StatusServiceUnavailable)
	}
	t.soak.ledger.ran(asked.ID, id)
	if role == "" {
		return spoil(stamped(id, "text/plain", wholeAnswer(asked.ID)), illness)
	}
	after, err := strconv.Atoi(asked.LastEvent)
	if asked.LastEvent != "" && err != nil {
		t.soak.ledger.find("mixed", asked.ID, "stream is to go on after event %q", asked.LastEvent)
	}
	stream := stamped(id, "text/event-stream", events(asked.ID, after))
	stream.Chunked = true
	return spoil(stream, illness)
}

// report tells of the engine.
func (t *target) report() *fake.TargetAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, err := platform.EncodeReport(platform.EngineReport{Role: t.role, Orders: t.orders})
	if err != nil {
		t.soak.ledger.find("soak", "", "%v", err)
	}
	return &fake.TargetAnswer{Status: http.StatusOK, Body: string(data)}
}

// read reads a prompt and keeps it under a handle.
func (t *target) read() *fake.TargetAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	h := radishspoke.Handle{ID: strconv.Itoa(t.number)}
	t.handles[h.ID] = true
	data, err := platform.EncodeHandle(h)
	if err != nil {
		t.soak.ledger.find("soak", "", "%v", err)
	}
	return &fake.TargetAnswer{Status: http.StatusOK, Body: string(data)}
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
		a.Before = fake.Stray("nobody", http.StatusOK)
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
func (t *target) check(asked platform.ReceivedHeader, body []byte) {
	l := t.soak.ledger
	team, key := teamOf(asked.ID)
	if len(asked.Teams) != 1 || asked.Teams[0] != team {
		l.find("unasked", asked.ID, "team is %q, want %q", asked.Teams, team)
	}
	if asked.Secret != "" {
		l.find("unasked", asked.ID, "key %q reached a target", asked.Secret)
	}
	if string(body) != bodyOf(asked.ID) {
		l.find("mixed", asked.ID, "body of %d bytes is of another request", len(body))
	}
	// Bytes that a proxy held back were sent earlier.
	if late := l.overdue(key); late > 0 && t.sound(revokeTime) {
		l.find("revoked", asked.ID, "key %s started work %v after its time", key, late)
	}
}

// fetch takes a KV cache from the engine that has it. Without one the engine
// reads the prompt itself.
func (s *Soak) fetch(h *radishspoke.Handle) bool {
	if h == nil {
		return true
	}
	for _, t := range s.targets {
		if t.address == h.Address {
			return t.take(h.ID)
		}
	}
	return false
}

// take takes a handle; false if it is gone.
func (t *target) take(handle string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok := t.handles[handle]
	delete(t.handles, handle)
	return ok
}

// order takes an order to change the role, at once.
func (t *target) order(body []byte) *fake.TargetAnswer {
	o, err := platform.DecodeOrder(body)
	if err != nil {
		t.soak.ledger.find("one", "", "%v", err)
		return &fake.TargetAnswer{Status: http.StatusBadRequest}
	}
	t.mu.Lock()
	if t.holder == "" {
		t.holder = o.Holder
	}
	if t.holder != o.Holder {
		t.soak.ledger.find("one", "", "engine %s was ordered by %s and by %s", t.id, t.holder, o.Holder)
	}
	if o.After != t.orders {
		t.mu.Unlock()
		return &fake.TargetAnswer{Status: http.StatusConflict}
	}
	t.orders++
	t.role = o.Role
	t.mu.Unlock()
	t.list()
	return &fake.TargetAnswer{Status: http.StatusAccepted}
}

func stamped(id, kind, body string) *fake.TargetAnswer {
	h := platform.EncodeAnswer(platform.AnswerHeader{Stamped: true}, id)
	h.Set("Content-Type", kind)
	return &fake.TargetAnswer{Status: http.StatusOK, Header: h, Body: body}
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
