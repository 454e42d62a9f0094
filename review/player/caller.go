//go:build review

package player

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names in the configuration.
const (
	host   = "service.example"
	prefix = "/read/"
	secret = "3d3zji9n73hh2b9wu3fe"
)

// Route holds the times of the route to the engines.
type Route struct {
	Timeout   time.Duration
	Objective time.Duration
	Resumable bool
	Attempts  int
}

// PutConfiguration writes a configuration with one route to the engines.
func (d *Deployment) PutConfiguration(version int, r Route) error {
	const pause = 150 // ms
	data, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "read", "Host": host, "Prefix": prefix, "Kind": "streaming", "TimeoutMs": r.Timeout.Milliseconds(),
			"TargetLatencyMs": r.Objective.Milliseconds(), "Priority": 0, "Service": Service, "MaxAttempts": max(1, r.Attempts), "Public": false, "Sticky": true,
			"Resumable": r.Resumable, "GapAimMs": pause,
		}},
		"Services": []map[string]any{{
			"Name": Service, "HealthPath": "/health", "MaxConnections": 240, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{
				"Slots": 32, "KvCapacityTokens": 1435711, "KvTokenBytes": 327680, "LinkMbps": 22000000.0, "KvHoldS": 5.0, "RoleSwitchS": 3.0,
				"PinMs": 4000.0, "HoldMs": 2000.0, "Models": []map[string]any{{"Name": model}},
			},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "team", "ApiKeys": []string{secret}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200, "RatePerS": 50_000_000, "Burst": 50_000_000}},
	})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	d.Store.Put("op", "config", data)
	d.Record.Printf("the store has acknowledged configuration %d", version)
	return nil
}

// Request is a request of a caller.
type Request struct {
	ID       string
	Entry    int // number of the entry, counted from 0
	Prompt   int // tokens
	Output   int // tokens
	Body     int // bytes
	Deadline time.Duration
	Patience time.Duration // longest time without an event for which the caller waits
}

// Answer is what a caller got.
type Answer struct {
	Status  int // 0 if no head arrived
	Events  int
	Stamp   string
	Whole   bool // the answer ended in the protocol
	Left    bool // the caller gave up
	Took    time.Duration
	Failure string // why the answer ended before its end
	Text    string // body
}

// Send sends a request on a new connection and returns the answer.
func (d *Deployment) Send(q Request) Answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	patience := time.AfterFunc(q.Patience, cancel)
	defer patience.Stop()
	a := d.exchange(ctx, q, func() { patience.Reset(q.Patience) })
	a.Took, a.Left = time.Since(began), !a.Whole && ctx.Err() != nil
	d.Record.Printf("caller: request %s: status %d, %d events, stamp %q, whole %t, left %t, after %v %s %s",
		q.ID, a.Status, a.Events, a.Stamp, a.Whole, a.Left, a.Took.Round(time.Millisecond), a.Failure, failureText(a))
	return a
}

// exchange sends a request and reads the answer. It calls progress at each event.
func (d *Deployment) exchange(ctx context.Context, q Request, progress func()) Answer {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.EntryAddress(q.Entry)+prefix+"x", bytes.NewReader(make([]byte, q.Body)))
	if err != nil {
		return Answer{Failure: err.Error()}
	}
	r.Host = host
	r.Header.Set(headerID, q.ID)
	r.Header.Set(headerKey, secret)
	r.Header.Set(headerModel, model)
	r.Header.Set(headerTokens, fmt.Sprintf("%d,%d", q.Prompt, q.Output))
	r.Header.Set(headerDeadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	d.Record.Printf("caller: request %s is sent to entry %d", q.ID, q.Entry)
	resp, err := t.RoundTrip(r)
	if err != nil {
		return Answer{Failure: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	progress()
	a := Answer{Status: resp.StatusCode, Stamp: resp.Header.Get(headerStamp)}
	var body []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if n > 0 {
			progress()
		}
		if err != nil {
			a.Whole = err == io.EOF
			if !a.Whole {
				a.Failure = err.Error()
			}
			break
		}
	}
	a.Events = bytes.Count(body, []byte("\n\n"))
	a.Text = string(body)
	return a
}

// failureText returns the body of an answer that is not a success.
func failureText(a Answer) string {
	if a.Status == http.StatusOK {
		return ""
	}
	return strings.TrimSpace(a.Text)
}
