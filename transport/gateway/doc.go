// Package gateway implements the HTTP interface for callers. Requests on model
// routes use the OpenAI API; requests on service routes are passed to a service. The
// package runs in the entries of radishspoke's own deployment. On an external
// platform, package fleetdispatcher serves the callers.
//
// The gateway checks the key of a caller and removes it from the request, so that
// no other part of the system receives it. Every response has the id and the
// outcome of the request in its headers, except that the list of models has the id
// only. Every error response has the format of the OpenAI API.
package gateway
