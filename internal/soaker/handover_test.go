package soaker

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
	"radishspoke/platform"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// TestTurnsOfHolders checks that a fence that falls and holders that take turns are findings, unless
// the sender of the last report was paused just before it.
func TestTurnsOfHolders(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		reports []platform.Tenure
		resumed string // process that was paused until just before the reports
		found   int
	}{
		{reports: []platform.Tenure{{Holder: "front-1", Epoch: 1}, {Holder: "front-1", Epoch: 2}, {Holder: "front-2", Epoch: 3}}},
		{reports: []platform.Tenure{{Holder: "front-1", Epoch: 1}, {Holder: "front-2", Epoch: 2}, {Holder: "front-1", Epoch: 3}}, found: 1},
		{reports: []platform.Tenure{{Holder: "front-2", Epoch: 1}, {Holder: "front-1", Epoch: 2}, {Holder: "front-3", Epoch: 3}, {Holder: "front-2", Epoch: 4}}, found: 1},
		{reports: []platform.Tenure{{Holder: "front-1", Epoch: 2}, {Holder: "front-2", Epoch: 1}}, found: 1},
		{reports: []platform.Tenure{{Holder: "front-1", Epoch: 2}, {Holder: "front-2", Epoch: 1}}, resumed: "front-2"},
		{reports: []platform.Tenure{{Holder: "front-1", Epoch: 1}, {Holder: "front-2", Epoch: 2}, {Holder: "front-1", Epoch: 3}}, resumed: "front-1"},
	} {
		s := &Soak{recorder: newRecorder(), store: fake.NewRowStore()}
		for _, name := range []string{"front-1", "front-2", "front-3"} {
			p := &process{name: name, store: &proxy{}, duties: &proxy{}}
			if name == test.resumed {
				p.resumptions = []time.Time{time.Now()}
			}
			s.entries = append(s.entries, p)
		}
		server := httptest.NewServer(s.store)
		client := platform.New(platform.Settings{Duties: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, ticker.BootClock{})
		for n, tenure := range test.reports {
			c.Assert(client.ReportUsage(t.Context(), tenure, int64(n), nil), qt.IsNil)
		}
		server.Close()
		s.checkTurns()
		c.Assert(checks(s.recorder), qt.HasLen, test.found, qt.Commentf("%v", test.reports))
	}
}

// TestHeldBytes checks that a stalled proxy delivers what was sent before an ordinary close, and
// nothing of a connection that was reset.
func TestHeldBytes(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		c := qt.New(t)
		server, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		p, err := newProxy("127.0.0.1:0", server.Addr().String())
		c.Assert(err, qt.IsNil)
		p.setLink(linkState{StallUpstream: true}, false)
		client, err := net.Dial("tcp", p.address)
		c.Assert(err, qt.IsNil)
		conn, err := server.Accept()
		c.Assert(err, qt.IsNil)
		_, err = client.Write([]byte("report"))
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * resetPoll) // the proxy reads it
		if isReset {
			reset(client)
		} else {
			c.Assert(client.Close(), qt.IsNil)
		}
		time.Sleep(2 * resetPoll)
		p.setLink(linkState{}, false)
		n, _ := conn.Read(make([]byte, 10)) // 0 bytes and an error after a reset
		c.Assert(n > 0, qt.Equals, !isReset)
		p.close()
		c.Assert(server.Close(), qt.IsNil)
		c.Assert(conn.Close(), qt.IsNil)
	}
}
