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

// target is an engine or a plain service behind a proxy. A restart begins a new
// instance at the same address.
type target struct {
	*proxy
	soak    *Soak
	service string
	zone    string
	address string       // of the proxy, as it is listed in the store
	backend net.Listener // of the target itself; guarded by restarts

	restarts sync.Mutex // held during a restart, as one may end a crash while another is planned

	mu         sync.Mutex
	random     *rand.Rand
	instance   string           // ID of the current instance
	software   string           // version of the software of the current instance
	instances  int              // started so far
	role       radishspoke.Role // empty for a plain service
	orders     int64            // accepted by the current instance
	rowWrites  int64            // number of times that a row was written
	holder     string           // lease holder that sent the first order
	handles    map[string]bool  // KV caches that have not been fetched
	lastHandle int              // ID of the last handle
	faulty     bool             // some responses are faulty
	faultyAt   time.Time        // last change of faulty
	down       bool             // it has crashed and has not started again yet
	silence    silence
}

// newTarget starts a target at an IP address. The role is empty for a plain
// service.
func newTarget(s *Soak, ip, service, zone string, role radishspoke.Role, seed uint64) (*target, error) {
	// Not an ephemeral port: another process might take that during a restart.
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(backendPort)))
	if err != nil {
		return nil, errors.Wrap(err, "listen for target")
	}
	t := &target{
		soak: s, service: service, zone: zone, role: role, address: net.JoinHostPort(ip, strconv.Itoa(targetPort)), backend: l,
		random: rand.New(rand.NewPCG(seed, 7)), handles: map[string]bool{},
	}
	if t.proxy, err = newProxy(t.address, l.Addr().String()); err != nil {
		return nil, err
	}
	t.startInstance()
	return t, nil
}

// startInstance starts a new instance, removes the row of the previous one and
// writes the new row.
func (t *target) startInstance() {
	t.mu.Lock()
	old := t.instance
	t.instances++
	t.software = t.soak.release.version()
	t.instance = fmt.Sprintf("%s-%s-%d", t.service, strings.ReplaceAll(t.address, ".", "-"), t.instances)
	t.handles = map[string]bool{}
	t.orders = 0
	id := t.instance
	t.mu.Unlock()
	go fake.NewTarget(id, func(r *http.Request, body []byte) *fake.TargetResponse { return t.respond(id, r, body) }).Serve(t.backend)
	if old != "" {
		t.soak.store.Delete(platform.InstanceTable, old)
	}
	t.putRow()
}

// A process that this program is starting holds a copy of the closed listener until it runs,
// so that the address may be in use for a moment.
const (
	listenTimeout = 2 * time.Second
	listenRetry   = 10 * time.Millisecond
)

// restart stops the current instance and starts another one at the same address.
func (t *target) restart() {
	t.restarts.Lock()
	defer t.restarts.Unlock()
	address := t.backend.Addr().String()
	_ = t.backend.Close()
	t.setLink(linkState{}, true)
	l, err := net.Listen("tcp", address)
	for end := time.Now().Add(listenTimeout); err != nil && time.Now().Before(end); l, err = net.Listen("tcp", address) {
		time.Sleep(listenRetry)
	}
	if err != nil {
		t.soak.recorder.addFinding("soak", "", "target could not be restarted: %v", err)
		return
	}
	t.backend = l
	t.startInstance()
}

// putRow writes the row of the current instance to the store.
func (t *target) putRow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rowWrites++
	data, err := platform.EncodeInstance(radishspoke.Instance{
		Group: t.service, Address: t.address, Zone: t.zone, Slots: targetSlots, Role: t.role, StartTime: time.Now(), Software: t.software,
	}, t.rowWrites)
	if err != nil {
		t.soak.recorder.addFinding("soak", "", "%v", err)
		return
	}
	t.soak.store.Put(platform.InstanceTable, t.instance, data)
}

// notRunResponse returns a response that states that the target does not run the
// request.
func notRunResponse(status int) *fake.TargetResponse {
	return &fake.TargetResponse{Status: status, Header: platform.EncodeAnswer(platform.AnswerHeader{NotRun: true}, "")}
}

// respond returns the response of the instance with the given ID to a request, and states
// the limit of the target in it.
func (t *target) respond(id string, r *http.Request, body []byte) *fake.TargetResponse {
	if r.URL.Path == platform.ReportPath || r.URL.Path == platform.OrderPath || r.Method == http.MethodDelete {
		t.silence.await(nil)
		return t.handle(id, r, body, 0)
	}
	if h, err := platform.DecodeReceivedHeader(r.Header); err == nil && !h.PrefillOnly {
		t.soak.recorder.addArrival(h.ID)
	}
	t.soak.checkLeft(t, platform.RequestID(r.Header))
	limit, ok := t.soak.limit.recordArrival(t, id, platform.RequestID(r.Header))
	a := t.handle(id, r, body, t.silence.await(r.Header))
	if a == nil || !ok {
		return a
	}
	if a.Header == nil {
		a.Header = http.Header{}
	}
	for k, v := range platform.EncodeAnswer(platform.AnswerHeader{Limit: limit, Limited: true}, "") {
		a.Header[k] = v
	}
	return a
}

// handle returns the response of the instance with the given ID to a request, which was read
// after the time waited. It returns nil, to close the connection without a response, if that instance has been
// replaced or if the target is faulty and drew that fault.
func (t *target) handle(id string, r *http.Request, body []byte, waited time.Duration) *fake.TargetResponse {
	t.mu.Lock()
	pause, streamPause := time.Duration(t.random.IntN(20))*time.Millisecond, time.Duration(0)
	if t.random.IntN(slowStreams) == 0 {
		streamPause = time.Duration(t.random.Int64N(int64(maxStreamPause)))
	}
	current, role, software := t.instance == id, t.role, t.software
	draw := 1.0 // random number that selects the fault of the response; 1 for none
	if t.faulty {
		draw = t.random.Float64()
	}
	t.mu.Unlock()
	if !current {
		return nil
	}
	switch {
	case r.URL.Path == platform.ReportPath:
		return t.report()
	case r.URL.Path == platform.OrderPath:
		return t.applyOrder(body)
	case r.Method == http.MethodDelete:
		if handle, ok := platform.DecodeHandlePath(r.URL.Path); ok {
			t.takeHandle(handle)
		}
		return &fake.TargetResponse{Status: http.StatusOK}
	}
	header, err := platform.DecodeReceivedHeader(r.Header)
	request := received{ReceivedHeader: header, waited: waited}
	if err != nil {
		t.soak.recorder.addFinding("unasked", platform.RequestID(r.Header), "%v", err)
		return notRunResponse(http.StatusBadRequest)
	}
	if request.Instance != id {
		return notRunResponse(http.StatusMisdirectedRequest)
	}
	t.soak.checkEvacuated(t, request.ID, time.Now().Add(-waited))
	time.Sleep(pause)
	if r.URL.Path == badPath {
		t.soak.badRequest.recordArrival(request.ID, true)
		t.soak.recorder.addExecution(request.ID, id)
		t.crash()
		return nil
	}
	t.checkRequest(request, body)
	if hasBadPart(request.Parts) {
		crashes := role == radishspoke.DecodeRole && !request.PrefillOnly
		t.soak.badPart.recordArrival(request.ID, crashes)
		if crashes {
			t.soak.recorder.addExecution(request.ID, id)
			t.crash()
			return nil
		}
	}
	switch {
	case draw < refusalRate:
		return notRunResponse(http.StatusServiceUnavailable)
	case request.PrefillOnly:
		if role != radishspoke.PrefillRole {
			return notRunResponse(http.StatusMisdirectedRequest)
		}
		return t.prefill()
	case role == radishspoke.PrefillRole || !t.soak.fetchCache(request.CacheSource):
		return notRunResponse(http.StatusServiceUnavailable)
	}
	t.soak.recorder.addExecution(request.ID, id)
	if role == "" {
		answer := stampedResponse(id, "text/plain", plainBody(request.ID))
		answer.Halfway = t.silence.hold
		return corrupt(answer, draw)
	}
	after, err := strconv.Atoi(request.LastEvent)
	if request.LastEvent != "" && err != nil {
		t.soak.recorder.addFinding("mixed", request.ID, "request resumes the stream after event %q, which is not a number", request.LastEvent)
	}
	stream := stampedResponse(id, "text/event-stream", streamBody(request.stream(), software, after))
	stream.Chunked, stream.Pause, stream.Halfway = true, streamPause, t.silence.hold
	return corrupt(stream, draw)
}

// report returns the response with the engine's role and its number of accepted
// orders.
func (t *target) report() *fake.TargetResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, err := platform.EncodeReport(platform.EngineReport{Role: t.role, Orders: t.orders})
	if err != nil {
		t.soak.recorder.addFinding("soak", "", "%v", err)
	}
	return &fake.TargetResponse{Status: http.StatusOK, Body: string(data)}
}

// prefill returns the response to a prefill request, which has the handle of a new
// KV cache.
func (t *target) prefill() *fake.TargetResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastHandle++
	h := radishspoke.Handle{ID: strconv.Itoa(t.lastHandle)}
	t.handles[h.ID] = true
	data, err := platform.EncodeHandle(h)
	if err != nil {
		t.soak.recorder.addFinding("soak", "", "%v", err)
	}
	return &fake.TargetResponse{Status: http.StatusOK, Body: string(data)}
}

// Shares of the faulty responses of a faulty target; the others are correct.
const (
	refusalRate       = 0.15 // the request does not run, and the response says so
	noResponseRate    = 0.15 // the request runs, and the connection is closed without a response
	truncationRate    = 0.15 // the body ends early, with or without a proper end of its framing
	strayResponseRate = 0.15 // a response to an unknown request comes first
)

// corrupt makes a response faulty or returns it unchanged, depending on draw, a
// random number in [refusalRate, 1]. It returns nil if the connection is to be
// closed without a response.
func corrupt(a *fake.TargetResponse, draw float64) *fake.TargetResponse {
	switch draw -= refusalRate; {
	case draw < noResponseRate:
		return nil
	case draw < noResponseRate+truncationRate:
		a.TruncateAt = len(a.Body)/2 - 1 // inside an event of a stream
		switch part := (draw - noResponseRate) / truncationRate; {
		case part < 1.0/3:
			// A plain body that is closed early without framing looks complete.
			a.Unframed, a.Reset = true, !a.Chunked
			a.Chunked = false
		case part < 2.0/3 && a.Chunked: // the framing ends properly
			a.Body, a.TruncateAt = a.Body[:a.TruncateAt], 0
		}
	case draw < noResponseRate+truncationRate+strayResponseRate:
		a.Before = fake.StrayResponse("nobody", http.StatusOK)
	}
	return a
}

// setFaulty sets whether the target returns faulty responses.
func (t *target) setFaulty(faulty bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faulty, t.faultyAt = faulty, time.Now()
}

// checkRequest checks the headers and the body of a request to a target.
func (t *target) checkRequest(request received, body []byte) {
	rec := t.soak.recorder
	team, key := teamOf(request.ID)
	if len(request.Teams) != 1 || request.Teams[0] != team {
		rec.addFinding("unasked", request.ID, "team is %q, want %q", request.Teams, team)
	}
	if request.Secret != "" {
		rec.addFinding("unasked", request.ID, "key %q was sent to a target", request.Secret)
	}
	if string(body) != requestBody(request.stream()) {
		rec.addFinding("mixed", request.ID, "body of %d bytes belongs to another request", len(body))
	}
	// On a link with a recent fault, the request may have been sent before the
	// end of the revocation time and held back by the proxy.
	if late := rec.sinceRevocation(key) - request.waited; late > 0 && t.healthyFor(revokeTime) {
		rec.addFinding("revoked", request.ID, "request with key %s started %v after the revocation time", key, late)
	}
}

// fetchCache simulates the transfer of a KV cache from the engine that holds it, and
// reports whether that engine still had it. It returns true if h is nil, as the
// fetching engine then prefills the prompt itself.
func (s *Soak) fetchCache(h *radishspoke.Handle) bool {
	if h == nil {
		return true
	}
	for _, t := range s.targets {
		if t.address == h.Address {
			return t.takeHandle(h.ID)
		}
	}
	return false
}

// takeHandle removes a handle and reports whether it existed.
func (t *target) takeHandle(handle string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok := t.handles[handle]
	delete(t.handles, handle)
	return ok
}

// applyOrder changes the role of the engine as ordered, without delay. It adds a
// finding if the orders come from more than one lease holder, and rejects an order
// that does not follow the last accepted one.
func (t *target) applyOrder(body []byte) *fake.TargetResponse {
	o, err := platform.DecodeOrder(body)
	if err != nil {
		t.soak.recorder.addFinding("one", "", "%v", err)
		return &fake.TargetResponse{Status: http.StatusBadRequest}
	}
	t.mu.Lock()
	if t.holder == "" {
		t.holder = o.Holder
	}
	if t.holder != o.Holder {
		t.soak.recorder.addFinding("one", "", "engine %s received orders from %s and from %s", t.instance, t.holder, o.Holder)
	}
	if o.After != t.orders {
		t.mu.Unlock()
		return &fake.TargetResponse{Status: http.StatusConflict}
	}
	t.orders++
	t.role = o.Role
	t.mu.Unlock()
	t.putRow()
	return &fake.TargetResponse{Status: http.StatusAccepted}
}

// stampedResponse returns a response with status 200 that is stamped by the
// instance of the given ID.
func stampedResponse(id, contentType, body string) *fake.TargetResponse {
	h := platform.EncodeAnswer(platform.AnswerHeader{Stamped: true}, id)
	h.Set("Content-Type", contentType)
	return &fake.TargetResponse{Status: http.StatusOK, Header: h, Body: body}
}

// plainBody returns the response body of a plain service to the request of the
// given ID.
func plainBody(id string) string { return "answer to " + id }

const (
	streamEvents = 6 // number of events in a complete stream

	// One stream in slowStreams pauses in its middle, for less than maxStreamPause.
	slowStreams    = 4
	maxStreamPause = 500 * time.Millisecond
)

// streamBody returns the stream that an engine with the given software version sends for
// the request of the given ID, without its first events up to the number after.
func streamBody(id, software string, after int) string {
	var b strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d %s\n\n", n, id, n, software)
	}
	return b.String()
}

// requestBody returns the body of the request of the given ID.
func requestBody(id string) string { return strings.Repeat(id+" ", bodyWords) }

// teamOf returns the team and the key in a request ID. In the ID t1-k1-c3-17, the
// team is t1 and the key is t1-k1. It returns empty strings for an ID with fewer than
// two hyphens.
func teamOf(id string) (team, key string) {
	p := strings.SplitN(id, "-", 3)
	if len(p) < 3 {
		return "", ""
	}
	return p[0], p[0] + "-" + p[1]
}
