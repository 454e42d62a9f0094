package adapter

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

// Engine is the client of a model engine. It implements radishspoke.Engine.
type Engine struct {
	base   string
	client *http.Client
}

// NewEngine returns a client of the engine at address.
func NewEngine(n radishspoke.Network, address string) *Engine {
	return &Engine{base: "http://" + address + "/v1/", client: &http.Client{Transport: transport.HTTP(n)}}
}

// Close drops idle connections.
func (e *Engine) Close() { e.client.CloseIdleConnections() }

type generateBody struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority,omitempty"`
	Produced  int    `json:"produced,omitempty"`
}

type generateLine struct {
	Tokens []string `json:"tokens"`
	End    bool     `json:"end"`
	Reason string   `json:"reason"`
	Prompt int      `json:"prompt"`
	Cached int      `json:"cached"`
}

// Generate starts an answer after the tokens produced so far.
func (e *Engine) Generate(ctx context.Context, id string, g radishspoke.Generation, produced int) (radishspoke.TokenStream, error) {
	r, err := e.send(ctx, http.MethodPost, "generate", generateBody{
		ID: id, Model: g.Model, Adapter: g.Adapter, Prompt: g.Prompt,
		MaxTokens: g.MaxTokens, Priority: g.Priority, Produced: produced,
	})
	if err != nil {
		return nil, err
	}
	return &tokenStream{body: r.Body, lines: bufio.NewReaderSize(r.Body, maxLine), produced: produced}, nil
}

type tokenStream struct {
	body     io.ReadCloser
	lines    *bufio.Reader
	produced int
}

func (s *tokenStream) Close() error { return s.body.Close() }

// Next reads the lines of the answer that have come, at least one.
func (s *tokenStream) Next() (radishspoke.TokenBatch, error) {
	var out radishspoke.TokenBatch
	for {
		if err := s.line(&out); err != nil {
			return radishspoke.TokenBatch{}, err
		}
		if out.End || !s.ready() {
			return out, nil
		}
	}
}

// ready tells whether a whole line can be read without waiting.
func (s *tokenStream) ready() bool {
	held, err := s.lines.Peek(s.lines.Buffered())
	return err == nil && bytes.IndexByte(held, '\n') >= 0
}

// line adds one line to a batch.
func (s *tokenStream) line(out *radishspoke.TokenBatch) error {
	b, err := s.lines.ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("%w: answer cut after %d tokens: %s", radishspoke.ErrTargetFailed, s.produced, err.Error())
	}
	var l generateLine
	if err := json.Unmarshal(b, &l); err != nil {
		return fmt.Errorf("%w: decode answer: %s", radishspoke.ErrTargetFailed, err.Error())
	}
	s.produced += len(l.Tokens)
	if out.Tokens == nil {
		out.Tokens = l.Tokens
	} else {
		out.Tokens = append(out.Tokens, l.Tokens...)
	}
	out.End, out.Reason = l.End, l.Reason
	out.Usage = radishspoke.Usage{Prompt: l.Prompt, Cached: l.Cached, Output: s.produced}
	return nil
}

// Cancel stops an answer.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.exchange(ctx, http.MethodDelete, "generate/"+id, nil, nil)
}

// Load returns the engine's report.
func (e *Engine) Load(ctx context.Context) (radishspoke.Load, error) {
	var l radishspoke.Load
	err := e.exchange(ctx, http.MethodGet, "load", nil, &l)
	return l, err
}

// State returns what the engine is now.
func (e *Engine) State(ctx context.Context) (radishspoke.EngineState, error) {
	var s radishspoke.EngineState
	err := e.exchange(ctx, http.MethodGet, "state", nil, &s)
	return s, err
}

// Apply carries out an order.
func (e *Engine) Apply(ctx context.Context, o radishspoke.Order) error {
	return e.exchange(ctx, http.MethodPost, "orders", o, nil)
}

// exchange sends in and decodes the whole answer into out.
func (e *Engine) exchange(ctx context.Context, method, path string, in, out any) error {
	r, err := e.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if out == nil {
		_, err = io.Copy(io.Discard, r.Body)
	} else {
		err = json.NewDecoder(r.Body).Decode(out)
	}
	if err != nil {
		return fmt.Errorf("%w: %s %s: %s", radishspoke.ErrTargetFailed, method, path, err.Error())
	}
	return nil
}

// send returns the answer to a request if its status is a good one.
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
		return nil, fmt.Errorf("%w: %s", kindOf(err), err.Error())
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
	maxErrorText = 512      // bytes
	maxLine      = 64 << 10 // bytes
)
