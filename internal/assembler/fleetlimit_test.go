package assembler

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/platform"
)

// Guards against LIMIT on the sum over all entries: a target that states a limit must not
// get the limit from each of them.
func TestEntriesShareLimitOfTarget(t *testing.T) {
	const (
		limit   = 10.0 // requests a second
		entries = 5
		window  = 4 * time.Second
		most    = int(1.5*limit*4 + 5) // requests in a window
	)
	c := qt.New(t)
	rows := fake.NewRowStore()
	store := httptest.NewServer(rows)
	defer store.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	var mu sync.Mutex
	var arrivals []time.Time
	target := fake.NewTarget("d1", func(*http.Request, []byte) *fake.TargetResponse {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		return &fake.TargetResponse{Status: 200, Header: platform.EncodeAnswer(platform.AnswerHeader{Stamped: true, Limit: limit, Limited: true}, "x"), Body: "done"}
	})
	go target.Serve(l)
	rows.Put(platform.OperatorTable, platform.ConfigurationKey, fleetConfig(c, 3))
	listTarget(c, rows, radishspoke.Instance{ID: "d1", Group: "desk", Address: l.Addr().String()})
	s := fleetSettings(c, strings.TrimPrefix(store.URL, "http://"))
	var fleet []*FleetEntry
	for k := range entries {
		s.Name, s.IP = fmt.Sprintf("front-%d", k), fmt.Sprintf("127.0.0.%d", k+1)
		e, err := NewFleetEntry(s, fleetEnv(), 0)
		c.Assert(err, qt.IsNil)
		c.Assert(e.Start(), qt.IsNil)
		fleet = append(fleet, e)
	}
	defer func() {
		var stops sync.WaitGroup
		for _, e := range fleet {
			stops.Go(e.Stop)
		}
		stops.Wait()
	}()
	for _, e := range fleet {
		for e.watcher.Table() == nil || len(e.watcher.Instances()) == 0 || len(e.gossiper.Peers()) < entries-1 {
			time.Sleep(time.Millisecond)
		}
	}
	began := time.Now()
	var wg sync.WaitGroup
	for k, e := range fleet {
		wg.Go(func() {
			conn, err := net.Dial("tcp", e.listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			caller := &fleetCaller{conn: conn, in: bufio.NewReader(conn)}
			for n := 0; time.Since(began) < 2*window; n++ {
				if _, err := caller.send(fmt.Sprintf("r%d-%d", k, n)); !c.Check(err, qt.IsNil) {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	first := 0
	for k, at := range arrivals {
		if at.Sub(began) < time.Second { // the entries learn of the limit
			first = k + 1
			continue
		}
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		c.Assert(k-first+1 <= most, qt.IsTrue, qt.Commentf("%d requests in 4 s at %v", k-first+1, at.Sub(began)))
	}
	c.Assert(len(arrivals) > int(limit), qt.IsTrue) // the limit is used
}
