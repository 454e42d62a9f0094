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
	"radishspoke/internal/disabler"
	"radishspoke/transport"
)

// Client implements radishspoke.Platform. Use New to create one.
type Client struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

const maxResponse = 64 << 20 // bytes

// New returns a Client of the platform at address. Each HTTP request is limited to
// the given timeout.
func New(n radishspoke.Network, address string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address + "/v1/", client: &http.Client{Transport: transport.HTTP(n)}, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// envelope is the JSON form in which a value is stored.
type envelope struct {
	Write string `json:"write"` // id of the write
	Value []byte `json:"value"`
}

// Read returns the row with the given key. The error wraps radishspoke.ErrNotFound
// if there is no such row, and radishspoke.ErrUnavailable if the platform did not
// respond.
func (c *Client) Read(ctx context.Context, key string) (radishspoke.Row, error) {
	var r radishspoke.Row
	if err := c.do(ctx, http.MethodGet, "rows?key="+url.QueryEscape(key), nil, &r); err != nil {
		return r, fmt.Errorf("read row %s: %w", key, err)
	}
	if err := unwrap(&r); err != nil {
		return r, fmt.Errorf("read row %s: %w", key, err)
	}
	return r, nil
}

// History returns the zero History, as the platform loses nothing that it has acknowledged.
func (c *Client) History() radishspoke.History { return radishspoke.History{} }

// List returns the rows whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]radishspoke.Row, error) {
	var rows []radishspoke.Row
	if err := c.do(ctx, http.MethodGet, "rows?prefix="+url.QueryEscape(prefix), nil, &rows); err != nil {
		return nil, fmt.Errorf("list rows %s: %w", prefix, err)
	}
	for i := range rows {
		if err := unwrap(&rows[i]); err != nil {
			return nil, fmt.Errorf("list rows %s: %w", prefix, err)
		}
	}
	return rows, nil
}

// unwrap replaces the value of a row, an envelope, by the value and write id in it.
func unwrap(r *radishspoke.Row) error {
	var e envelope
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return fmt.Errorf("decode row %s: %w", r.Key, err)
	}
	r.Value, r.WriteID = e.Value, e.Write
	return nil
}

// Commit applies all writes or none. The error wraps radishspoke.ErrConflict if a
// row does not have the expected version, and radishspoke.ErrUnavailable if it is
// not known whether the writes were applied.
func (c *Client) Commit(ctx context.Context, id string, writes ...radishspoke.Write) error {
	wrapped := make([]radishspoke.Write, len(writes))
	for i, w := range writes {
		v, err := json.Marshal(envelope{Write: id, Value: w.Value})
		if err != nil {
			return fmt.Errorf("encode row %s: %w", w.Key, err)
		}
		wrapped[i] = radishspoke.Write{Key: w.Key, Value: v, Version: w.Version}
	}
	err := c.do(ctx, http.MethodPost, "transactions", wrapped, nil)
	if errors.Is(err, radishspoke.ErrUnavailable) && disabler.Disabled(disabler.WriteResolution) {
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

// resolve finds out whether the transaction id, whose response was lost, took
// effect. It returns nil if it did, radishspoke.ErrConflict if it never will, and
// cause, the error of the call, if that is not known. Reading the row of one write
// suffices, as a transaction is atomic.
func (c *Client) resolve(ctx context.Context, id string, w radishspoke.Write, cause error) error {
	r, err := c.Read(ctx, w.Key)
	switch {
	case err != nil:
		return cause
	case r.WriteID == id:
		return nil
	case r.Version == w.Version+1:
		return radishspoke.ErrConflict
	default: // not applied yet, or overwritten since
		return cause
	}
}

// Get returns the content of an object. The error wraps radishspoke.ErrNotFound if
// there is no such object, and radishspoke.ErrUnavailable if the platform did not
// respond.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	b, err := c.call(ctx, http.MethodGet, "objects/"+url.PathEscape(name), nil)
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", name, err)
	}
	return b, nil
}

// Put stores data as the content of an object.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if _, err := c.call(ctx, http.MethodPut, "objects/"+url.PathEscape(name), data); err != nil {
		return fmt.Errorf("put object %s: %w", name, err)
	}
	return nil
}

// Members returns the platform's list of members, the processes of the system.
func (c *Client) Members(ctx context.Context) ([]radishspoke.Member, error) {
	var m []radishspoke.Member
	if err := c.do(ctx, http.MethodGet, "members", nil, &m); err != nil {
		return nil, fmt.Errorf("list members: %w", err)
	}
	return m, nil
}

// Announce adds a process to the list of members.
func (c *Client) Announce(ctx context.Context, m radishspoke.Member) error {
	if err := c.do(ctx, http.MethodPut, "members", m, nil); err != nil {
		return fmt.Errorf("announce %s: %w", m.Name, err)
	}
	return nil
}

// Withdraw removes a process from the list of members.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	if err := c.do(ctx, http.MethodDelete, "members/"+url.PathEscape(name), nil, nil); err != nil {
		return fmt.Errorf("withdraw %s: %w", name, err)
	}
	return nil
}

// ReportUsage reports the usage in one billing window, encoded as JSON. The
// argument reporter is the name of the reporting process.
func (c *Client) ReportUsage(ctx context.Context, window, reporter string, usage []byte) error {
	body := struct {
		Window   string          `json:"window"`
		Reporter string          `json:"reporter"`
		Figures  json.RawMessage `json:"figures"`
	}{window, reporter, usage}
	if err := c.do(ctx, http.MethodPost, "usage", body, nil); err != nil {
		return fmt.Errorf("report usage of %s: %w", window, err)
	}
	return nil
}

// do sends in as JSON, unless it is nil, and decodes the JSON of the response into
// out, unless that is nil.
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
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// call sends one HTTP request and returns the body of the response. It translates
// statuses to the errors of package radishspoke.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	// Only the caller may retry a write. Without GetBody, net/http can't send the
	// body a second time on its own.
	if method != http.MethodGet {
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %s", radishspoke.ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, fmt.Errorf("%w: %s", radishspoke.ErrUnavailable, err.Error())
	}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return b, nil
	case resp.StatusCode == http.StatusNotFound:
		return nil, radishspoke.ErrNotFound
	case resp.StatusCode == http.StatusConflict:
		return nil, radishspoke.ErrConflict
	case resp.StatusCode >= http.StatusInternalServerError:
		return nil, fmt.Errorf("%w: status %d", radishspoke.ErrUnavailable, resp.StatusCode)
	default:
		return nil, fmt.Errorf("platform rejected the request: status %d: %s", resp.StatusCode, bytes.TrimSpace(b))
	}
}
