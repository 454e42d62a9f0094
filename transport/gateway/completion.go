package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"radishspoke"
)

// completionBody is the body of /v1/completions and /v1/chat/completions.
// Fields that are not known are passed over, as OpenAI clients send many.
type completionBody struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     *int          `json:"max_tokens"`
	MaxCompletion *int          `json:"max_completion_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority int  `json:"priority"`
	N        *int `json:"n"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModel serves one completion.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request, q *radishspoke.Request, v *radishspoke.Inventory) {
	b, f := g.readCompletion(w, r)
	chat := strings.HasSuffix(q.Route.Path, "/chat/completions")
	if f == nil {
		q.Generation, f = b.generation(chat, r, v)
	}
	if f != nil {
		writeFailure(w, q.ID, f)
		return
	}
	a := answer{id: q.ID, chat: chat, model: b.Model, created: time.Now().Unix()}
	if b.Stream {
		g.stream(w, r, q, newStreamSink(w, a, g.settings.WriteTimeout, b.StreamOptions.IncludeUsage))
		return
	}
	s := &wholeSink{answer: a}
	if err := g.dispatch(r.Context(), q, s); err != nil {
		g.fail(w, r, q, err)
		return
	}
	w.Header().Set(RequestHeader, q.ID)
	w.Header().Set(OutcomeHeader, string(radishspoke.OutcomeRun))
	writeJSON(w, http.StatusOK, s.body())
}

func (g *Gateway) stream(w http.ResponseWriter, r *http.Request, q *radishspoke.Request, s *streamSink) {
	err := g.dispatch(r.Context(), q, s)
	switch {
	case err == nil:
	case !s.started:
		g.fail(w, r, q, err)
	default:
		s.fail(failureOf(err))
	}
}

// fail answers a request that has failed before any part of its answer was
// sent.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, q *radishspoke.Request, err error) {
	if r.Context().Err() != nil {
		return // the caller has gone
	}
	writeFailure(w, q.ID, failureOf(err))
}

func failureOf(err error) *radishspoke.Failure {
	var f *radishspoke.Failure
	if errors.As(err, &f) {
		return f
	}
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeUnknown, Status: http.StatusInternalServerError, Code: "internal_error", Message: err.Error()}
}

// readCompletion reads and checks the body of a completion.
func (g *Gateway) readCompletion(w http.ResponseWriter, r *http.Request) (completionBody, *radishspoke.Failure) {
	var b completionBody
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return b, badRequest(http.StatusUnsupportedMediaType, "bad_content_type", "Content-Type", "must be application/json")
	}
	data, f := g.readBody(w, r)
	if f != nil {
		return b, f
	}
	if !utf8.Valid(data) {
		return b, badRequest(http.StatusBadRequest, "bad_encoding", "body", "is not UTF-8")
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return b, badRequest(http.StatusBadRequest, "bad_json", "body", describe(err))
	}
	return b, nil
}

// describe names the place of a JSON error.
func describe(err error) string {
	var t *json.UnmarshalTypeError
	var s *json.SyntaxError
	switch {
	case errors.As(err, &t):
		return fmt.Sprintf("%s must be a %s, not a %s, at byte %d", t.Field, t.Type, t.Value, t.Offset)
	case errors.As(err, &s):
		return fmt.Sprintf("%s at byte %d", s.Error(), s.Offset)
	}
	return err.Error()
}

// readBody reads a body within the bounds on its length and time. When it
// fails, the read deadline stays in place: the server would otherwise wait for
// the rest of the body before it answers.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *radishspoke.Failure) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.settings.BodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.settings.MaxBody))
	var long *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return data, nil
	case errors.As(err, &long):
		return nil, badRequest(http.StatusRequestEntityTooLarge, "body_too_long", "body", fmt.Sprintf("is longer than %d bytes", g.settings.MaxBody))
	}
	w.Header().Set("Connection", "close")
	return nil, badRequest(http.StatusRequestTimeout, "body_not_read", "body", "was not received whole: "+err.Error())
}

// generation checks a completion against the inventory.
func (b *completionBody) generation(chat bool, r *http.Request, v *radishspoke.Inventory) (*radishspoke.Generation, *radishspoke.Failure) {
	m, adapter, f := findModel(b.Model, v)
	if f != nil {
		return nil, f
	}
	prompt, f := b.prompt(chat)
	if f != nil {
		return nil, f
	}
	most, f := b.most(v.Rules.MaxOutput)
	if f != nil {
		return nil, f
	}
	if b.N != nil && *b.N != 1 {
		return nil, badRequest(http.StatusBadRequest, "bad_value", "n", fmt.Sprintf("must be 1, not %d", *b.N))
	}
	priority := b.Priority
	if text := r.Header.Get(PriorityHeader); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, badRequest(http.StatusBadRequest, "bad_value", PriorityHeader, fmt.Sprintf("%q is not a whole number", text))
		}
		priority = n
	}
	priority = max(-maxPriority, min(maxPriority, priority))
	return &radishspoke.Generation{Model: m, Adapter: adapter, Prompt: prompt, MaxTokens: most, Priority: priority}, nil
}

// findModel returns the model of a name, which may be MODEL or MODEL:ADAPTER.
func findModel(name string, v *radishspoke.Inventory) (model, adapter string, f *radishspoke.Failure) {
	if name == "" {
		return "", "", badRequest(http.StatusBadRequest, "missing_value", "model", "is missing")
	}
	base, adapter, _ := strings.Cut(name, ":")
	m, ok := v.Model(base)
	if !ok {
		return "", "", badRequest(http.StatusNotFound, "model_not_found", "model", fmt.Sprintf("%q does not exist", name))
	}
	if adapter == "" {
		return base, "", nil
	}
	for _, a := range m.Adapters {
		if a == adapter {
			return base, adapter, nil
		}
	}
	return "", "", badRequest(http.StatusNotFound, "model_not_found", "model", fmt.Sprintf("%q has no adapter %q", base, adapter))
}

func (b *completionBody) prompt(chat bool) (string, *radishspoke.Failure) {
	if !chat {
		if b.Prompt == "" {
			return "", badRequest(http.StatusBadRequest, "missing_value", "prompt", "is missing")
		}
		return b.Prompt, nil
	}
	if len(b.Messages) == 0 {
		return "", badRequest(http.StatusBadRequest, "missing_value", "messages", "is missing")
	}
	var out strings.Builder
	for i, m := range b.Messages {
		switch m.Role {
		case "system", "user", "assistant", "developer", "tool":
		default:
			return "", badRequest(http.StatusBadRequest, "bad_value", fmt.Sprintf("messages[%d].role", i), fmt.Sprintf("%q is not a role", m.Role))
		}
		out.WriteString(m.Role)
		out.WriteString(": ")
		out.WriteString(m.Content)
		out.WriteString("\n")
	}
	return out.String(), nil
}

// most returns the bound on the answer's length.
func (b *completionBody) most(limit int) (int, *radishspoke.Failure) {
	n, name := b.MaxTokens, "max_tokens"
	if b.MaxCompletion != nil {
		n, name = b.MaxCompletion, "max_completion_tokens"
	}
	if n == nil {
		return limit, nil
	}
	if *n < 1 || *n > limit {
		return 0, badRequest(http.StatusBadRequest, "bad_value", name, fmt.Sprintf("%d is not between 1 and %d", *n, limit))
	}
	return *n, nil
}
