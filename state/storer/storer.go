package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/internal/breaker"
	"radishspoke/transport"
)

// Client implements radishspoke.Platform.
type Client struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

const maxAnswer = 64 << 20 // bytes

// New returns a client of the platform at address. Each call is bounded by
// timeout.
func New(n radishspoke.Network, address string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address + "/v1/", client: &http.Client{Transport: transport.HTTP(n)}, timeout: timeout}
}

// Close drops idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// envelope is how a value is stored.
type envelope struct {
	Write string `json:"write"`
	Value []byte `json:"value"`
}

// Read returns one row.
func (c *Client) Read(ctx context.Context, key string) (radishspoke.Row, error) {
	var r radishspoke.Row
	if err := c.do(ctx, http.MethodGet, "rows?key="+url.QueryEscape(key), nil, &r); err != nil {
		return r, fmt.Errorf("read row %s: %w", key, err)
	}
	if err := open(&r); err != nil {
		return r, fmt.Errorf("read row %s: %w", key, err)
	}
	return r, nil
}

// List returns the rows whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]radishspoke.Row, error) {
	var rows []radishspoke.Row
	if err := c.do(ctx, http.MethodGet, "rows?prefix="+url.QueryEscape(prefix), nil, &rows); err != nil {
		return nil, fmt.Errorf("list rows %s: %w", prefix, err)
	}
	for i := range rows {
		if err := open(&rows[i]); err != nil {
			return nil, fmt.Errorf("list rows %s: %w", prefix, err)
		}
	}
	return rows, nil
}

func open(r *radishspoke.Row) error {
	var e envelope
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return fmt.Errorf("decode row %s: %w", r.Key, err)
	}
	r.Value, r.WriteID = e.Value, e.Write
	return nil
}

// Commit applies all writes or none.
func (c *Client) Commit(ctx context.Context, id string, writes ...radishspoke.Write) error {
	sealed := make([]radishspoke.Write, len(writes))
	for i, w := range writes {
		v, err := json.Marshal(envelope{Write: id, Value: w.Value})
		if err != nil {
			return fmt.Errorf("encode row %s: %w", w.Key, err)
		}
		sealed[i] = radishspoke.Write{Key: w.Key, Value: v, Version: w.Version}
	}
	err := c.do(ctx, http.MethodPost, "transactions", sealed, nil)
	if errors.Is(err, radishspoke.ErrUnavailable) && breaker.Is(breaker.Lost) {
		return radishspoke.ErrConflict
	}
	if errors.Is(err, radishspoke.ErrUnavailable) && len(writes) > 0 {
		err = c.resolve(ctx, id, writes[0], err)
	}
	if err != nil {
		return fmt.Errorf("commit %s: %w", id, err)
	}
	return nil
}

// resolve finds out whether a write whose answer was lost took effect. One
// row is enough, as a transaction is whole.
func (c *Client) resolve(ctx context.Context, id string, w radishspoke.Write, lost error) error {
	r, err := c.Read(ctx, w.Key)
	switch {
	case err != nil:
		return lost
	case r.WriteID == id:
		return nil
	case r.Version == w.Version+1:
		return radishspoke.ErrConflict
	default: // not yet, or written over since
		return lost
	}
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	b, err := c.call(ctx, http.MethodGet, "objects/"+url.PathEscape(name), nil)
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", name, err)
	}
	return b, nil
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if _, err := c.call(ctx, http.MethodPut, "objects/"+url.PathEscape(name), data); err != nil {
		return fmt.Errorf("put object %s: %w", name, err)
	}
	return nil
}

// Members returns the list of hosts.
func (c *Client) Members(ctx context.Context) ([]radishspoke.Member, error) {
	var m []radishspoke.Member
	if err := c.do(ctx, http.MethodGet, "members", nil, &m); err != nil {
		return nil, fmt.Errorf("list members: %w", err)
	}
	return m, nil
}

// Announce puts a process on the list of hosts.
func (c *Client) Announce(ctx context.Context, m radishspoke.Member) error {
	if err := c.do(ctx, http.MethodPut, "members", m, nil); err != nil {
		return fmt.Errorf("announce %s: %w", m.Name, err)
	}
	return nil
}

// Withdraw takes a process off the list of hosts.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	if err := c.do(ctx, http.MethodDelete, "members/"+url.PathEscape(name), nil, nil); err != nil {
		return fmt.Errorf("withdraw %s: %w", name, err)
	}
	return nil
}

// ReportUsage reports a window's figures.
func (c *Client) ReportUsage(ctx context.Context, window, reporter string, figures []byte) error {
	body := struct {
		Window   string          `json:"window"`
		Reporter string          `json:"reporter"`
		Figures  json.RawMessage `json:"figures"`
	}{window, reporter, figures}
	if err := c.do(ctx, http.MethodPost, "usage", body, nil); err != nil {
		return fmt.Errorf("report usage of %s: %w", window, err)
	}
	return nil
}

// do sends in as JSON and decodes the answer into out.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = b
	}
	b, err := c.call(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	// Only the caller may repeat a write.
	if method != http.MethodGet {
		q.GetBody = nil
		q.Header.Set("Content-Type", "application/json")
	}
	r, err := c.client.Do(q)
	if err != nil {
		return nil, fmt.Errorf("%w: %s", radishspoke.ErrUnavailable, err.Error())
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("%w: %s", radishspoke.ErrUnavailable, err.Error())
	}
	switch {
	case r.StatusCode < http.StatusMultipleChoices:
		return b, nil
	case r.StatusCode == http.StatusNotFound:
		return nil, radishspoke.ErrNotFound
	case r.StatusCode == http.StatusConflict:
		return nil, radishspoke.ErrConflict
	case r.StatusCode >= http.StatusInternalServerError:
		return nil, fmt.Errorf("%w: status %d", radishspoke.ErrUnavailable, r.StatusCode)
	default:
		return nil, fmt.Errorf("platform refused the call: status %d: %s", r.StatusCode, bytes.TrimSpace(b))
	}
}
