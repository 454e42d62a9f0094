//go:build review

package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Key and Tenant are the key of the consumers and its tenant.
const (
	Key    = "3d3zji9n73hh2b9wu3fe"
	Tenant = "huka270"
)

// consumerHost is the host of all routes.
const consumerHost = "ficu95.example"

// Manifest returns a manifest with the given routes and services, and one tenant.
func Manifest(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": Tenant, "ApiKeys": []string{Key}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200, "RatePerS": 1725552, "Burst": 1725552}},
	}
}

// Route returns a route of a manifest.
func Route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": consumerHost, "Prefix": prefix, "Kind": kind, "TimeoutMs": 1000, "TargetLatencyMs": 150, "Priority": 1,
		"Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
	}
}

// PlainService returns a plain service of a manifest.
func PlainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false}
}

var requests atomic.Int64 // number of requests, from which ids are made

// Send sends one request over a new channel and returns its status, or 0 without an answer.
func Send(ctx context.Context, r *Record, h *Host, method, path string) int {
	id := fmt.Sprintf("%016x", requests.Add(1))
	r.Printf("consumer: request %s sent to %s: %s %s", id, h.Name, method, path)
	status := send(ctx, h.Front, method, path, id)
	r.Printf("consumer: request %s answered by %s with status %d", id, h.Name, status)
	return status
}

func send(ctx context.Context, front, method, path, id string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, nil)
	if err != nil {
		return 0
	}
	r.Host = consumerHost
	r.Header.Set("Radishspoke-Request-Id", id)
	r.Header.Set("Radishspoke-Key", Key)
	r.Header.Set("Radishspoke-Deadline-Ms", "1000")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}
