package fake

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/platform"
)

// GenerateRequest is the body of a request to an engine to generate an answer.
// The answer continues after the first Produced tokens.
type GenerateRequest struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority,omitempty"`
	Produced  int    `json:"produced,omitempty"`
}

// GenerateLine is one line of the response to a request to generate an answer. The
// last line has End set, and only that line has the fields after End.
type GenerateLine struct {
	Tokens []string `json:"tokens,omitempty"`
	End    bool     `json:"end,omitempty"`
	Reason string   `json:"reason,omitempty"` // why the answer ends: stop or length
	Prompt int      `json:"prompt,omitempty"` // number of prompt tokens
	Cached int      `json:"cached,omitempty"` // number of prompt tokens that were cached
}

// Handler returns a handler for the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/generate", e.postGenerate).Methods(http.MethodPost)
	r.HandleFunc("/v1/generate/{id}", e.deleteGenerate).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Load()) })
	r.HandleFunc("/v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) })
	r.HandleFunc("/v1/orders", e.postOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/cache", e.getCache).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/export", e.exportKV).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/import", e.importKV).Methods(http.MethodPost)
	if e.settings.Rooms != nil {
		r.NotFoundHandler = http.HandlerFunc(e.reserve)
	}
	return r
}

// reserve responds to a call that takes or drops a reservation.
func (e *Engine) reserve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, ok := e.settings.Rooms.Respond(r, body)
	if !ok {
		http.NotFound(w, r)
		return
	}
	maps.Copy(w.Header(), a.Header)
	w.WriteHeader(a.Status)
	_, _ = io.WriteString(w, a.Body) // nobody reads the answer if the caller has disconnected
}

// enter takes a slot for a generation and states the load in the header of its answer. It
// returns false if there is no room.
func (e *Engine) enter(w http.ResponseWriter, r *http.Request) bool {
	rooms := e.settings.Rooms
	if rooms == nil {
		return true
	}
	ok := rooms.Begin(platform.HoldID(r.Header))
	load := rooms.Load()
	load.NotRun = !ok
	maps.Copy(w.Header(), platform.EncodeAnswer(load, ""))
	return ok
}

func (e *Engine) postGenerate(w http.ResponseWriter, r *http.Request) {
	var b GenerateRequest
	if !decodeBody(w, r, &b) {
		return
	}
	if !e.enter(w, r) {
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	if e.settings.Rooms != nil {
		defer e.settings.Rooms.End()
	}
	g := radishspoke.Generation{Model: b.Model, Adapter: b.Adapter, Prompt: b.Prompt, MaxTokens: b.MaxTokens, Priority: b.Priority}
	q, err := e.admit(b.ID, g, b.Produced)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer q.abandon()
	e.send(w, r, q, b.Produced)
}

// send writes the tokens of a sequence to w as they are decoded. Tokens that are
// ready at the same time share a line. The argument sent is the number of tokens of
// the answer that the caller already has. If the sequence is removed before it is
// complete, send aborts the connection.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, q *sequence, sent int) {
	f := w.(http.Flusher)
	enc := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	f.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case t, ok := <-q.out:
			if !ok {
				if sent == q.length {
					_ = enc.Encode(GenerateLine{End: true, Reason: q.reason, Prompt: promptTokens(q.prompt), Cached: q.cachedTokens})
					return
				}
				panic(http.ErrAbortHandler)
			}
			tokens := append(make([]string, 0, 1+len(q.out)), t)
			for range len(q.out) {
				if t, ok := <-q.out; ok {
					tokens = append(tokens, t)
				}
			}
			sent += len(tokens)
			if err := enc.Encode(GenerateLine{Tokens: tokens}); err != nil {
				return
			}
			f.Flush()
		}
	}
}

func (e *Engine) deleteGenerate(w http.ResponseWriter, r *http.Request) {
	e.cancel(mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o radishspoke.Order
	if !decodeBody(w, r, &o) {
		return
	}
	err := e.Apply(r.Context(), o)
	switch {
	case errors.Is(err, radishspoke.ErrStaleOrder):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// getCache responds with the cache events whose sequence number is above the query
// parameter after, or with all if that is not a number.
func (e *Engine) getCache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.eventsAfter(after, time.Now().Add(-e.settings.EventLag)))
}

// KVBlocks is the response to a KVTransferRequest. It lists the hashes of the blocks
// of the prompt that the engine held or has imported.
type KVBlocks struct {
	Blocks []uint64 `json:"blocks"`
}

// KVTransferRequest is the body of a request to an engine to export the KV blocks of
// a prompt, or to import them from another engine.
type KVTransferRequest struct {
	From   string `json:"from"` // IP:port of the exporting engine; only for an import
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
}

// exportKV responds with the leading blocks of a prompt that the engine holds.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var b KVTransferRequest
	if !decodeBody(w, r, &b) {
		return
	}
	hashes := BlockHashes(b.Model, b.Prompt)
	e.mu.Lock()
	n := e.cache.match(hashes)
	e.mu.Unlock()
	writeJSON(w, KVBlocks{Blocks: hashes[:n]})
}

// importKV fetches the blocks of a prompt from another engine, which takes
// blockTransferTime for each block, and responds with the imported blocks.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var b KVTransferRequest
	if !decodeBody(w, r, &b) {
		return
	}
	body, err := json.Marshal(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := http.Post("http://"+b.From+"/v1/kv/export", "application/json", bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var exported KVBlocks
	if err := json.NewDecoder(resp.Body).Decode(&exported); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	time.Sleep(time.Duration(len(exported.Blocks)) * blockTransferTime)
	e.mu.Lock()
	e.cache.add(exported.Blocks)
	e.mu.Unlock()
	writeJSON(w, exported)
}

const blockTransferTime = 2 * time.Millisecond // per KV block
