// Package httpclient is an HTTP/1.1 client with a connection pool for requests to
// targets.
//
// It serves requests that must not run twice. It therefore reports whether a
// failed request may have reached the target, lets the user of the package check
// that a response belongs to the request, and never retries a request itself,
// unlike the client of net/http.
package httpclient
