//go:build review

package player

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform that the stand-ins use.
const (
	headerID       = "Radishspoke-Request-Id"
	headerInstance = "Radishspoke-Expect-Instance"
	headerNotRun   = "Radishspoke-Not-Executed"
	headerStage    = "Radishspoke-Serving-Stage"
	headerSource   = "Radishspoke-Kv-Source"
	headerStamp    = "Radishspoke-Server-Stamp"
	headerLeaving  = "Server-Leaving"
	headerKey      = "Radishspoke-Key"
	headerDeadline = "Radishspoke-Deadline-Ms"
	headerTokens   = "Radishspoke-Token-Count"
	headerModel    = "Radishspoke-Model"
)

// Service is the name of the service of all engines, and model that of their model.
const (
	Service = "llm"
	model   = "m"
)

// Kinds of arrivals at an engine.
const (
	KindPrefill = "prefill" // a prompt is to be read only
	KindRun     = "run"     // an answer is to be generated
)

// Arrival is a request that has reached an engine.
type Arrival struct {
	At   time.Duration // on the clock of the record
	Kind string
	ID   string
	Cut  bool // the engine ended while it worked on the request
}

// EngineSettings holds the parameters of an Engine.
type EngineSettings struct {
	Number int    // of its host, counted from 0
	Phase  string // prefill or decode

	Rate     float64       // prompt tokens that it reads in a second; prompts are read one after the other
	Events   int           // events of an answer
	Interval time.Duration // between two events
}

// Engine is a stand-in for a model worker.
type Engine struct {
	ID string

	settings   EngineSettings
	deployment *Deployment
	born       int64
	server     *http.Server
	turn       chan struct{} // capacity 1; holds a value while a prompt is read
	handles    atomic.Int64
	stopBeats  chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	arrivals []*Arrival
	ended    bool
}

// beatInterval is the time between two writes of the row of an engine.
const beatInterval = 1200 * time.Millisecond

// StartEngine starts an engine and registers it in the store.
func (d *Deployment) StartEngine(s EngineSettings) (*Engine, error) {
	e := &Engine{
		ID: fmt.Sprintf("i-%04x", s.Number+1), settings: s, deployment: d, born: time.Now().UnixMilli(), turn: make(chan struct{}, 1),
		stopBeats: make(chan struct{}), state: "ready",
	}
	l, err := net.Listen("tcp", d.EngineAddress(s.Number))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e.server = &http.Server{Handler: e}
	d.mu.Lock()
	d.servers = append(d.servers, e.server)
	d.mu.Unlock()
	go func() { _ = e.server.Serve(l) }() // ends when the server is closed
	e.beat()
	go func() {
		t := time.NewTicker(beatInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				e.beat()
			case <-e.stopBeats:
				return
			}
		}
	}()
	return e, nil
}

// beat writes the row of the engine.
func (e *Engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.sequence++
	row, err := json.Marshal(map[string]any{
		"Service": Service, "Address": e.deployment.EngineAddress(e.settings.Number), "Zone": "a", "Version": "v1", "Slots": 32, "State": e.state,
		"ColdRemainingMs": 0, "Phase": e.settings.Phase, "Models": []map[string]any{{"Name": model, "Version": 1, "Adapters": []string{}}},
		"Sequence": e.sequence, "born": e.born,
	})
	if err != nil {
		panic(err) // the value has no other types than these
	}
	e.deployment.Store.Put("servers", e.ID, row)
}

// Drain reports that the engine leaves, and returns when the store has taken the report.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
	e.deployment.Record.Printf("engine %s: the store has acknowledged that it is draining", e.ID)
}

// Exit ends the engine as the end of its process does. What it works on is cut off.
func (e *Engine) Exit() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	close(e.stopBeats)
	_ = e.server.Close() // nothing is left to be done about a failure
	e.deployment.Store.Delete("servers", e.ID)
	e.deployment.Record.Printf("engine %s: ends", e.ID)
}

// Arrivals returns the requests that have reached the engine.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Arrival, len(e.arrivals))
	for i, a := range e.arrivals {
		out[i] = *a
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	if e.leaving() {
		w.Header().Set(headerLeaving, "1")
		w.Header().Set("Connection", "close")
	}
	if id := r.Header.Get(headerInstance); id != "" && id != e.ID {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prefills := r.Header.Get(headerStage) == KindPrefill
	switch {
	case r.URL.Path == "/report":
		writeJSON(w, map[string]any{"Phase": e.settings.Phase, "Models": []map[string]any{{"Name": model, "Version": 1}}, "Busy": false, "Sequence": 0, "KvTotal": 1435711})
	case r.URL.Path == "/order":
		w.WriteHeader(http.StatusAccepted)
	case r.URL.Path == "/hold-take":
		writeJSON(w, map[string]any{"Hold": fmt.Sprintf("h%d", e.handles.Add(1))})
	case r.Method == http.MethodDelete:
	case prefills != (e.settings.Phase == KindPrefill):
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case prefills:
		e.prefill(w, r)
	default:
		e.generate(w, r)
	}
}

// leaving reports whether the engine has reported that it leaves.
func (e *Engine) leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state != "ready"
}

// arrive records a request.
func (e *Engine) arrive(kind string, r *http.Request) *Arrival {
	a := &Arrival{At: e.deployment.Record.Now(), Kind: kind, ID: r.Header.Get(headerID)}
	e.deployment.Record.Printf("engine %s: %s of request %s arrives from %s", e.ID, kind, a.ID, r.RemoteAddr)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
	return a
}

// leave records the end of the work on a request, and whether the engine has finished it.
func (e *Engine) leave(a *Arrival, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Cut = !finished && e.ended
	how := "finished"
	if !finished {
		how = "dropped"
	}
	e.deployment.Record.Printf("engine %s: %s of request %s %s", e.ID, a.Kind, a.ID, how)
}

// prefill reads a prompt.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request) {
	a := e.arrive(KindPrefill, r)
	tokens, ok := e.read(r, 1)
	e.leave(a, ok)
	if ok {
		writeJSON(w, map[string]any{"Handle": fmt.Sprintf("%s%x", e.ID, e.handles.Add(1)), "Tokens": tokens, "Version": 1})
	}
}

// read takes the time in which the prompt of a request is read, times slowness. It returns the
// number of tokens, and false if the caller has left.
func (e *Engine) read(r *http.Request, slowness float64) (tokens int, ok bool) {
	prompt, _, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, err := strconv.Atoi(prompt)
	if err != nil {
		return 0, false
	}
	select {
	case e.turn <- struct{}{}:
		defer func() { <-e.turn }()
	case <-r.Context().Done():
		return 0, false
	}
	select {
	case <-time.After(time.Duration(slowness * float64(tokens) / e.settings.Rate * float64(time.Second))):
		return tokens, true
	case <-r.Context().Done():
		return 0, false
	}
}

// decodeSlowness is the time that a decode engine takes to read a prompt, relative to one of the
// other phase.
const decodeSlowness = 2

// generate sends a stream of events.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	a := e.arrive(KindRun, r)
	if r.Header.Get(headerSource) == "" {
		if _, ok := e.read(r, decodeSlowness); !ok {
			e.leave(a, false)
			return
		}
	}
	w.Header().Set(headerStamp, "stamp."+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := firstEvent(r); n <= e.settings.Events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", n, a.ID, e.ID); err != nil {
			e.leave(a, false)
			return
		}
		_ = flush() // the next write fails too
		select {
		case <-time.After(e.settings.Interval):
		case <-r.Context().Done():
			e.leave(a, false)
			return
		}
	}
	e.leave(a, true)
}

// firstEvent returns the number of the first event that a request asks for.
func firstEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return last + 1
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the caller may have left
}
