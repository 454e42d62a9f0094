// Package gateway serves callers over HTTP: an OpenAI-compatible interface
// for model routes, and plain requests for service routes.
//
// A caller's key is checked and removed here; nothing behind the gateway sees
// it. Every answer carries the request's id and its outcome in headers, and
// every error has the OpenAI shape.
package gateway
