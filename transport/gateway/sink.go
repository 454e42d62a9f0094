package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"radishspoke"
)

// responseMeta holds the values that are repeated in every chunk of a completion
// response.
type responseMeta struct {
	id      string // of the request
	chat    bool   // whether the response has the chat format
	model   string
	created int64 // Unix time in seconds
}

// object returns the object type of a complete response or of a chunk.
func (m responseMeta) object(chunk bool) string {
	switch {
	case m.chat && chunk:
		return "chat.completion.chunk"
	case m.chat:
		return "chat.completion"
	}
	return "text_completion"
}

type usageBody struct {
	Prompt  int `json:"prompt_tokens"`
	Output  int `json:"completion_tokens"`
	Total   int `json:"total_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsageBody(u radishspoke.Usage) *usageBody {
	b := &usageBody{Prompt: u.Prompt, Output: u.Output, Total: u.Prompt + u.Output}
	b.Details.Cached = u.Cached
	return b
}

// completion is a complete response or one chunk of a streamed response.
type completion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

type choice struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *delta       `json:"delta,omitempty"`
	Reason  *string      `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// unusedMethods implements the methods of radishspoke.Sink that are called on
// service routes only.
type unusedMethods struct{}

// Head and Data are not called on model routes.
func (unusedMethods) Head(int, map[string][]string) error { return nil }
func (unusedMethods) Data([]byte) error                   { return nil }

// bufferSink collects a response that is not streamed.
type bufferSink struct {
	unusedMethods
	meta responseMeta
	text strings.Builder
	end  radishspoke.End
}

// Tokens implements radishspoke.Sink.
func (s *bufferSink) Tokens(t []string) error {
	for _, e := range t {
		s.text.WriteString(e)
	}
	return nil
}

// End implements radishspoke.Sink.
func (s *bufferSink) End(e radishspoke.End) error {
	s.end = e
	return nil
}

// body returns the body of the response.
func (s *bufferSink) body() completion {
	text := s.text.String()
	c := choice{Reason: &s.end.Reason}
	if s.meta.chat {
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{
		ID: s.meta.id, Object: s.meta.object(false), Created: s.meta.created, Model: s.meta.model,
		Choices: []choice{c}, Usage: newUsageBody(s.end.Usage),
	}
}

// streamSink writes a response as server-sent events, one for each batch of tokens.
type streamSink struct {
	unusedMethods
	w            http.ResponseWriter
	control      *http.ResponseController
	meta         responseMeta
	includeUsage bool // whether the last chunk has the usage
	started      bool // whether the headers have been written

	timeout  time.Duration // of each write
	deadline time.Time     // write deadline that is set on the connection

	// prefix and suffix enclose the text in each event with tokens. They are
	// encoded once for all events of the stream.
	prefix, suffix []byte

	event []byte // buffer for the next event
}

func newStreamSink(w http.ResponseWriter, m responseMeta, timeout time.Duration, includeUsage bool) *streamSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), meta: m, timeout: timeout, includeUsage: includeUsage}
	s.prefix = fmt.Appendf(nil, `data: {"id":%q,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,`,
		m.id, m.object(true), m.created, quote(m.model))
	if m.chat {
		s.prefix = append(s.prefix, `"delta":{"content":`...)
		s.suffix = []byte(`},"finish_reason":null}]}` + "\n\n")
	} else {
		s.prefix = append(s.prefix, `"text":`...)
		s.suffix = []byte(`,"finish_reason":null}]}` + "\n\n")
	}
	return s
}

// quote returns text as a JSON string.
func quote(text string) []byte {
	b, err := json.Marshal(text)
	if err != nil {
		panic("gateway: " + err.Error()) // a string can always be encoded
	}
	return b
}

// start writes the headers. For a chat, it puts the chunk with the role into the
// event buffer.
func (s *streamSink) start() {
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(RequestHeader, s.meta.id)
	h.Set(OutcomeHeader, string(radishspoke.OutcomeRun))
	s.w.WriteHeader(http.StatusOK)
	if s.meta.chat {
		s.event = s.appendChunk(s.event, choice{Delta: &delta{Role: "assistant"}}, nil)
	}
}

// appendChunk appends an event with the given choice and usage to b.
func (s *streamSink) appendChunk(b []byte, c choice, u *usageBody) []byte {
	v := completion{ID: s.meta.id, Object: s.meta.object(true), Created: s.meta.created, Model: s.meta.model, Choices: []choice{c}, Usage: u}
	return appendEvent(b, v)
}

// appendEvent appends a server-sent event with v in JSON to b.
func appendEvent(b []byte, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("gateway: " + err.Error()) // the types of this package can always be encoded
	}
	b = append(b, "data: "...)
	b = append(b, text...)
	return append(b, "\n\n"...)
}

// Tokens implements radishspoke.Sink.
func (s *streamSink) Tokens(t []string) error {
	s.event = s.event[:0]
	if !s.started {
		s.start()
	}
	s.event = append(s.event, s.prefix...)
	text := t[0]
	if len(t) > 1 {
		text = strings.Join(t, "")
	}
	s.event = append(s.event, quote(text)...)
	s.event = append(s.event, s.suffix...)
	return s.flush()
}

// End implements radishspoke.Sink.
func (s *streamSink) End(e radishspoke.End) error {
	s.event = s.event[:0]
	if !s.started {
		s.start()
	}
	c := choice{Reason: &e.Reason}
	empty := ""
	if s.meta.chat {
		c.Delta = &delta{}
	} else {
		c.Text = &empty
	}
	var u *usageBody
	if s.includeUsage {
		u = newUsageBody(e.Usage)
	}
	s.event = s.appendChunk(s.event, c, u)
	s.event = append(s.event, "data: [DONE]\n\n"...)
	err := s.flush()
	_ = s.control.SetWriteDeadline(time.Time{})
	return err
}

// fail ends an incomplete stream with an error event in place of [DONE].
func (s *streamSink) fail(f *radishspoke.Failure) {
	s.event = appendEvent(s.event[:0], newErrorBody(s.meta.id, f))
	_ = s.flush()
}

// flush writes the event buffer to the caller. The write deadline is renewed only
// when less than half of the timeout is left, because setting a deadline takes longer
// than a buffered write.
func (s *streamSink) flush() error {
	if now := time.Now(); s.deadline.Sub(now) < s.timeout/2 {
		s.deadline = now.Add(s.timeout)
		_ = s.control.SetWriteDeadline(s.deadline)
	}
	if _, err := s.w.Write(s.event); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}
