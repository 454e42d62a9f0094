package transport_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/transport"
)

// TestCheckHead checks that only a head in which a value ends with a status line counts
// as broken off.
func TestCheckHead(t *testing.T) {
	for _, k := range []struct {
		status, value string
		want          error
	}{
		{"200 OK", "x", nil},
		{"200", "", nil},
		{"200 OK", "HTTP/1.1", nil},
		{"200 OK", "HTTP/1.1 proxy", nil},
		{"200 OK", `199 - "HTTP/1.1 502 Bad Gateway"`, nil},
		{"200 OK", `malformed header line: "HTTP/1.1 502 Bad Gateway": x`, nil},
		{"200 OK", "HTTP/1.1 5020", nil},
		{"200 OK", "HTTP/1.1 502 Bad Gateway", transport.ErrBrokenHead},
		{"200 OK", "stampHTTP/1.0 502", transport.ErrBrokenHead},
		{"200 OK", "HTTP/1.1 502 ", transport.ErrBrokenHead},
		{"200 HTTP/1.1 500 Internal Server Error", "x", transport.ErrBrokenHead},
		{"200 OHTTP/1.1 500 Internal Server Error", "x", transport.ErrBrokenHead},
	} {
		c := qt.New(t)
		r := &http.Response{Status: k.status, StatusCode: http.StatusOK, Header: http.Header{"A": {"b", k.value}}}
		c.Check(transport.CheckHead(r), qt.Equals, k.want, qt.Commentf("%+v", k))
	}
}
