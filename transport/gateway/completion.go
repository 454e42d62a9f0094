package gateway

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport/budgeter"
)

// completionBody is the request body of /v1/completions and /v1/chat/completions.
// Unknown fields are ignored, because OpenAI clients send many that do not apply
// here.
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

// serveCompletion serves a request on a model route. The inventory gives the models
// and the bounds of their parameters.
func (g *Gateway) serveCompletion(w http.ResponseWriter, r *http.Request, q *radishspoke.Request, v *radishspoke.Inventory) {
	b, f := g.readCompletion(w, r)
	chat := strings.HasSuffix(q.Route.Path, "/chat/completions")
	if f == nil {
		q.Generation, f = b.generation(chat, r, v)
	}
	if f != nil {
		writeFailure(w, q.ID, f)
		return
	}
	m := responseMeta{id: q.ID, chat: chat, model: b.Model, created: time.Now().Unix()}
	if b.Stream {
		g.stream(w, r, q, newStreamSink(w, m, g.settings.WriteTimeout, b.StreamOptions.IncludeUsage))
		return
	}
	s := &bufferSink{meta: m}
	if err := g.dispatch(r.Context(), q, s); err != nil {
		g.fail(w, r, q, err)
		return
	}
	w.Header().Set(RequestHeader, q.ID)
	w.Header().Set(OutcomeHeader, string(radishspoke.OutcomeRun))
	writeJSON(w, http.StatusOK, s.body())
}

// stream dispatches a request whose response is sent as server-sent events.
func (g *Gateway) stream(w http.ResponseWriter, r *http.Request, q *radishspoke.Request, s *streamSink) {
	err := g.dispatch(r.Context(), q, s)
	switch {
	case err == nil:
	case !s.started:
		g.fail(w, r, q, err)
	default:
		s.fail(toFailure(err))
	}
}

// fail responds to a request that failed before any part of its response was
// written. It writes nothing if the caller has disconnected.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, q *radishspoke.Request, err error) {
	if r.Context().Err() != nil {
		return
	}
	writeFailure(w, q.ID, toFailure(err))
}

// toFailure returns the failure in the chain of err, or an internal error if there
// is none.
func toFailure(err error) *radishspoke.Failure {
	var f *radishspoke.Failure
	if errors.As(err, &f) {
		return f
	}
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeUnknown, Status: http.StatusInternalServerError, Code: "internal_error", Message: err.Error()}
}

// readCompletion reads and decodes the body of a completion request.
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
		return b, badRequest(http.StatusBadRequest, "bad_json", "body", describeJSONError(err))
	}
	return b, nil
}

// describeJSONError returns the text of a JSON decoding error, with its position in
// the body if it is known.
func describeJSONError(err error) string {
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

// readBody reads a request body of at most Settings.MaxBody bytes within
// Settings.BodyTimeout. If it fails, the read deadline is not cleared, because the
// server would otherwise wait for the rest of the body before it responds.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *radishspoke.Failure) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.settings.BodyTimeout))
	data, err := budgeter.ReadBody(http.MaxBytesReader(w, r.Body, g.settings.MaxBody), budgeter.From(r.Context()),
		budgeter.BodyOptions{Size: r.ContentLength, Most: g.settings.MaxBody})
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return data, nil
	case errors.As(err, &tooLong):
		return nil, badRequest(http.StatusRequestEntityTooLarge, "body_too_long", "body", fmt.Sprintf("is longer than %d bytes", g.settings.MaxBody))
	}
	w.Header().Set("Connection", "close")
	if errors.Is(err, budgeter.ErrFull) {
		return nil, badRequest(http.StatusServiceUnavailable, "no_memory", "body", err.Error())
	}
	return nil, badRequest(http.StatusRequestTimeout, "body_not_read", "body", "was not received whole: "+err.Error())
}

// generation validates a completion request and converts it to a generation. The
// chat argument selects the chat format of the prompt.
func (b *completionBody) generation(chat bool, r *http.Request, v *radishspoke.Inventory) (*radishspoke.Generation, *radishspoke.Failure) {
	m, adapter, f := findModel(b.Model, v)
	if f != nil {
		return nil, f
	}
	prompt, f := b.prompt(chat)
	if f != nil {
		return nil, f
	}
	maxTokens, f := b.maxTokens(v.Rules.MaxOutput)
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
	return &radishspoke.Generation{Model: m, Adapter: adapter, Prompt: prompt, MaxTokens: maxTokens, Priority: priority}, nil
}

// findModel returns the model and the adapter of a name with the format MODEL or
// MODEL:ADAPTER. The adapter is empty if the name has none.
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

// prompt returns the prompt. The messages of a chat are joined to one text with a
// line "ROLE: CONTENT" for each.
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

// maxTokens returns the maximum number of output tokens, which is limit if the
// request states none.
func (b *completionBody) maxTokens(limit int) (int, *radishspoke.Failure) {
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
