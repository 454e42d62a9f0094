package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"radishspoke"
)

// answer is what every part of a completion repeats.
type answer struct {
	id      string
	chat    bool
	model   string
	created int64
}

func (a answer) object(part bool) string {
	switch {
	case a.chat && part:
		return "chat.completion.chunk"
	case a.chat:
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

func usageOf(u radishspoke.Usage) *usageBody {
	b := &usageBody{Prompt: u.Prompt, Output: u.Output, Total: u.Prompt + u.Output}
	b.Details.Cached = u.Cached
	return b
}

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

// noService is the part of a Sink that completions have no use for.
type noService struct{}

// Head and Data are never called on a model route.
func (noService) Head(int, map[string][]string) error { return nil }
func (noService) Data([]byte) error                   { return nil }

// wholeSink gathers an answer that is sent in one piece.
type wholeSink struct {
	noService
	answer answer
	text   strings.Builder
	end    radishspoke.End
}

// Tokens implements radishspoke.Sink.
func (s *wholeSink) Tokens(t []string) error {
	for _, e := range t {
		s.text.WriteString(e)
	}
	return nil
}

// End implements radishspoke.Sink.
func (s *wholeSink) End(e radishspoke.End) error {
	s.end = e
	return nil
}

func (s *wholeSink) body() completion {
	text := s.text.String()
	c := choice{Reason: &s.end.Reason}
	if s.answer.chat {
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{
		ID: s.answer.id, Object: s.answer.object(false), Created: s.answer.created, Model: s.answer.model,
		Choices: []choice{c}, Usage: usageOf(s.end.Usage),
	}
}

// streamSink sends an answer as server-sent events, one for each batch of
// tokens.
type streamSink struct {
	noService
	w       http.ResponseWriter
	control *http.ResponseController
	answer  answer
	usage   bool
	started bool

	timeout  time.Duration
	deadline time.Time // of the next write

	// before and after stand around the text in every event.
	before, after []byte
	event         []byte
}

func newStreamSink(w http.ResponseWriter, a answer, timeout time.Duration, usage bool) *streamSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), answer: a, timeout: timeout, usage: usage}
	s.before = fmt.Appendf(nil, `data: {"id":%q,"object":%q,"created":%d,"model":%s,"choices":[{"index":0,`,
		a.id, a.object(true), a.created, quote(a.model))
	if a.chat {
		s.before = append(s.before, `"delta":{"content":`...)
		s.after = []byte(`},"finish_reason":null}]}` + "\n\n")
	} else {
		s.before = append(s.before, `"text":`...)
		s.after = []byte(`,"finish_reason":null}]}` + "\n\n")
	}
	return s
}

func quote(text string) []byte {
	b, err := json.Marshal(text)
	if err != nil {
		panic("gateway: " + err.Error()) // a string always encodes
	}
	return b
}

func (s *streamSink) start() {
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(RequestHeader, s.answer.id)
	h.Set(OutcomeHeader, string(radishspoke.OutcomeRun))
	s.w.WriteHeader(http.StatusOK)
	if s.answer.chat {
		s.event = s.part(s.event, choice{Delta: &delta{Role: "assistant"}}, nil)
	}
}

// part appends an event that is made in full.
func (s *streamSink) part(b []byte, c choice, u *usageBody) []byte {
	v := completion{ID: s.answer.id, Object: s.answer.object(true), Created: s.answer.created, Model: s.answer.model, Choices: []choice{c}, Usage: u}
	return appendEvent(b, v)
}

func appendEvent(b []byte, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("gateway: " + err.Error()) // only plain structs are encoded
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
	s.event = append(s.event, s.before...)
	text := t[0]
	if len(t) > 1 {
		text = strings.Join(t, "")
	}
	s.event = append(s.event, quote(text)...)
	s.event = append(s.event, s.after...)
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
	if s.answer.chat {
		c.Delta = &delta{}
	} else {
		c.Text = &empty
	}
	var u *usageBody
	if s.usage {
		u = usageOf(e.Usage)
	}
	s.event = s.part(s.event, c, u)
	s.event = append(s.event, "data: [DONE]\n\n"...)
	err := s.flush()
	_ = s.control.SetWriteDeadline(time.Time{})
	return err
}

// fail ends a stream that will not be whole: an error event, and no [DONE].
func (s *streamSink) fail(f *radishspoke.Failure) {
	s.event = appendEvent(s.event[:0], detailOf(s.answer.id, f))
	_ = s.flush()
}

// flush sends the event. The deadline is moved only now and then, as that
// costs more than a write into a buffer.
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
