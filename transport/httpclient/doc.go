// Package httpclient is an HTTP/1.1 client with a connection pool for requests to
// targets. It is used on external platforms. In radishspoke's own deployment, package
// targetclient is used instead.
//
// The client is made for requests that must not run twice. It therefore reports
// whether a failed request may have reached the target, lets its user check that a
// response belongs to the request, and, unlike the client of net/http, never retries a
// request itself.
package httpclient
