package targetclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"radishspoke"
	"radishspoke/transport"
)

// Engine is a client of a model engine. It implements radishspoke.Engine.
type Engine struct {
	base   string // start of the URL of every request
	client *http.Client
}

// NewEngine returns a client of the engine at address, which dials through n.
func NewEngine(n radishspoke.Network, address string) *Engine {
	return &Engine{base: "http://" + address + "/v1/", client: &http.Client{Transport: transport.HTTP(n)}}
}

// Close closes the idle connections.
func (e *Engine) Close() { e.client.CloseIdleConnections() }

// generateBody is the request body of a generation.
type generateBody struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority,omitempty"`
	Produced  int    `json:"produced,omitempty"`
}

// generateLine is a line of the response to a generation.
type generateLine struct {
	Tokens []string `json:"tokens"`
	End    bool     `json:"end"`
	Reason string   `json:"reason"`
	Prompt int      `json:"prompt"`
	Cached int      `json:"cached"`
}

// Generate starts a generation, or resumes it after the given number of tokens that
// were produced before. The error wraps radishspoke.ErrTargetRefused,
// radishspoke.ErrStaleOrder or radishspoke.ErrTargetFailed.
func (e *Engine) Generate(ctx context.Context, id string, g radishspoke.Generation, produced int) (radishspoke.TokenStream, error) {
	r, err := e.send(ctx, http.MethodPost, "generate", generateBody{
		ID: id, Model: g.Model, Adapter: g.Adapter, Prompt: g.Prompt,
		MaxTokens: g.MaxTokens, Priority: g.Priority, Produced: produced,
	})
	if err != nil {
		return nil, err
	}
	return &tokenStream{body: r.Body, lines: bufio.NewReaderSize(r.Body, maxLine), produced: produced, most: g.MaxTokens}, nil
}

// tokenStream implements radishspoke.TokenStream on the response to a generation.
type tokenStream struct {
	body     io.ReadCloser
	lines    *bufio.Reader
	produced int // tokens so far, including those produced before the stream began
	most     int // tokens of the generation; no bound if 0
}

func (s *tokenStream) Close() error { return s.body.Close() }

// Next waits for the next line of the response and returns it, together with the
// further lines that have already been received. The error wraps
// radishspoke.ErrTargetFailed.
func (s *tokenStream) Next() (radishspoke.TokenBatch, error) {
	var out radishspoke.TokenBatch
	for {
		if err := s.readLine(&out); err != nil {
			return radishspoke.TokenBatch{}, err
		}
		if out.End || !s.hasLine() {
			return out, nil
		}
	}
}

// hasLine returns whether a complete line can be read without blocking.
func (s *tokenStream) hasLine() bool {
	buffered, err := s.lines.Peek(s.lines.Buffered())
	return err == nil && bytes.IndexByte(buffered, '\n') >= 0
}

// readLine reads one line and adds it to a batch.
func (s *tokenStream) readLine(out *radishspoke.TokenBatch) error {
	b, err := s.lines.ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("%w: answer cut after %d tokens: %s", radishspoke.ErrTargetFailed, s.produced, err.Error())
	}
	var l generateLine
	if err := json.Unmarshal(b, &l); err != nil {
		return fmt.Errorf("%w: decode answer: %s", radishspoke.ErrTargetFailed, err.Error())
	}
	if s.produced += len(l.Tokens); s.most > 0 && s.produced > s.most {
		return fmt.Errorf("%w: engine produced more than the %d tokens asked for", radishspoke.ErrTargetFailed, s.most)
	}
	if out.Tokens == nil {
		out.Tokens = l.Tokens
	} else {
		out.Tokens = append(out.Tokens, l.Tokens...)
	}
	out.End, out.Reason = l.End, l.Reason
	out.Usage = radishspoke.Usage{Prompt: l.Prompt, Cached: l.Cached, Output: s.produced}
	return nil
}

// Cancel stops the generation with the given request id.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.exchange(ctx, http.MethodDelete, "generate/"+id, nil, nil)
}

// Load returns the load that the engine reports.
func (e *Engine) Load(ctx context.Context) (radishspoke.Load, error) {
	var l radishspoke.Load
	err := e.exchange(ctx, http.MethodGet, "load", nil, &l)
	return l, err
}

// State returns the current role, model and adapters of the engine.
func (e *Engine) State(ctx context.Context) (radishspoke.EngineState, error) {
	var s radishspoke.EngineState
	err := e.exchange(ctx, http.MethodGet, "state", nil, &s)
	return s, err
}

// Apply sends an order to the engine and waits until the engine has applied it. The
// error wraps radishspoke.ErrStaleOrder if the engine knows a newer order.
func (e *Engine) Apply(ctx context.Context, o radishspoke.Order) error {
	return e.exchange(ctx, http.MethodPost, "orders", o, nil)
}

// exchange sends in as JSON and decodes the response into out, unless out is nil. The
// error is that of send, or wraps radishspoke.ErrTargetFailed if the response cannot be
// read.
func (e *Engine) exchange(ctx context.Context, method, path string, in, out any) error {
	r, err := e.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	body := http.MaxBytesReader(nil, r.Body, maxAnswer)
	if out == nil {
		_, err = io.Copy(io.Discard, body)
	} else {
		err = json.NewDecoder(body).Decode(out)
	}
	if err != nil {
		return fmt.Errorf("%w: %s %s: %s", radishspoke.ErrTargetFailed, method, path, err.Error())
	}
	return nil
}

// send sends a request with in as JSON and returns the response, whose body the caller
// must close. A status of 300 or higher is returned as an error, which wraps
// radishspoke.ErrStaleOrder for status 412 and radishspoke.ErrTargetRefused otherwise.
// If there is no response, the error is as for classifyError.
func (e *Engine) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	q, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := e.client.Do(q)
	if err != nil {
		return nil, fmt.Errorf("%w: %s", classifyError(err), err.Error())
	}
	if err := transport.CheckHead(r); err != nil {
		_ = r.Body.Close()
		return nil, fmt.Errorf("%w: %s", radishspoke.ErrTargetFailed, err.Error())
	}
	if r.StatusCode < http.StatusMultipleChoices {
		return r, nil
	}
	defer func() { _ = r.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorText))
	text = bytes.TrimSpace(text)
	if r.StatusCode == http.StatusPreconditionFailed {
		return nil, fmt.Errorf("%w: %s", radishspoke.ErrStaleOrder, text)
	}
	return nil, fmt.Errorf("%w: status %d: %s", radishspoke.ErrTargetRefused, r.StatusCode, text)
}

const (
	maxErrorText = 512      // bytes of an error response that are kept in the error
	maxLine      = 64 << 10 // bytes in a line of the response to a generation
	maxAnswer    = 1 << 20  // bytes of any other response
)
