package main

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExplain checks that the output holds the lines of the request and then the
// earlier lines about its targets, each by time. Lines about other targets and
// other requests are left out, including a request whose id starts with this id.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	lines, err := readLines(strings.NewReader(`  5.2 front-1 time=2026-08-20T16:40:07.1Z level=WARN msg=request id=b2 status=502 outcome="engine: reset" targets=i-1,i-2 took=23ms
  4.0 front-2 time=2026-08-20T16:40:06.0Z level=INFO msg="target listed" target=i-2 role=decode leaving=false
  4.0 front-2 time=2026-08-20T16:40:06.0Z level=INFO msg="target listed" target=i-3 role=decode leaving=false
  9.0 front-2 time=2026-08-20T16:40:11.0Z level=INFO msg="target gone" target=i-2
  1.0 side-1 time=2026-08-20T16:40:02.0Z level=INFO msg="engine ordered" engine=i-1 role=prefill
  5.3 front-1 time=2026-08-20T16:40:07.2Z level=INFO msg=request id=b22 status=200 targets=i-3
no log line
`))
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	c.Assert(explain(&out, lines, "b2"), qt.IsNil)
	c.Assert(out.String(), qt.Equals, `time=2026-08-20T16:40:07.1Z level=WARN msg=request id=b2 status=502 outcome="engine: reset" targets=i-1,i-2 took=23ms
  time=2026-08-20T16:40:02.0Z level=INFO msg="engine ordered" engine=i-1 role=prefill
  time=2026-08-20T16:40:06.0Z level=INFO msg="target listed" target=i-2 role=decode leaving=false
`)
	c.Assert(explain(&out, lines, "none"), qt.ErrorIs, errNoLines)
}
