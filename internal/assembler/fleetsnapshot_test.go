package assembler

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/state/fleetwatcher"
	"radishspoke/transport"
)

// longTable returns a configuration with a number of routes.
func longTable(routes int) *radishspoke.RoutingTable {
	t := &radishspoke.RoutingTable{Version: 3, Groups: map[string]radishspoke.Group{"desk": {Name: "desk"}}}
	for i := range routes {
		t.Rules = append(t.Rules, radishspoke.PathRule{
			Name: fmt.Sprint("r-", i), Host: "shop.example", Prefix: fmt.Sprintf("/path%d/", i*7919%100_000), Kind: radishspoke.Safe, Timeout: time.Second,
			Objective: 100 * time.Millisecond, Attempts: 2, Choices: []radishspoke.GroupShare{{Group: "desk", Weight: 1}},
		})
	}
	return t
}

// TestSnapshotEncoding guards against CONFIG of issue 51: a configuration between entries takes
// as many bytes as from the store. It checks the content with and without a configuration, and
// that a configuration of 4,200 routes takes a tenth of its JSON at most.
func TestSnapshotEncoding(t *testing.T) {
	c := qt.New(t)
	var e snapshotEncoder
	table := longTable(4200)
	for _, s := range []fleetwatcher.Snapshot{
		{},
		{Table: table, Version: 3, At: radishspoke.StorePosition{Era: 1, Version: 9}, Digest: 7, Instances: []radishspoke.Instance{{ID: "a"}}},
		{Table: longTable(0), Version: 3},
		{Version: 3, ProofAge: time.Second},
	} {
		data, err := e.encode(s)
		c.Assert(err, qt.IsNil)
		got, err := decodeSnapshot(data, true, maxSnapshotJSONBytes)
		c.Assert(err, qt.IsNil)
		plain, err := json.Marshal(s)
		c.Assert(err, qt.IsNil)
		want, err := decodeSnapshot(plain, false, maxSnapshotJSONBytes)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, want)
		if s.Table == table {
			c.Assert(len(data) < len(plain)/10, qt.IsTrue, qt.Commentf("%d of %d bytes", len(data), len(plain)))
		}
		_, err = decodeSnapshot(data[:len(data)/2], true, maxSnapshotJSONBytes)
		c.Assert(err, qt.IsNotNil)
	}
}

// BenchmarkSnapshotEncoding encodes snapshots with a new configuration of a number of routes.
func BenchmarkSnapshotEncoding(b *testing.B) {
	for _, routes := range []int{100, 1000, 20_000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			var e snapshotEncoder
			table := longTable(routes)
			for b.Loop() {
				e.table = nil // a new version
				data, err := e.encode(fleetwatcher.Snapshot{Table: table, Version: 3})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}

// TestLongSnapshot guards against LOST: a short snapshot that unpacks to much more than the memory
// of the process was decompressed in full.
func TestLongSnapshot(t *testing.T) {
	c := qt.New(t)
	data, err := compress([]byte(`{"Table":"` + strings.Repeat("a", 120<<20) + `"}`))
	c.Assert(err, qt.IsNil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = decodeSnapshot(data, true, snapshotLimit(40_000_000))
	runtime.ReadMemStats(&after)
	c.Assert(err, qt.ErrorIs, transport.ErrTooLong)
	allocated := after.TotalAlloc - before.TotalAlloc
	c.Assert(allocated < 100<<20, qt.IsTrue, qt.Commentf("%d bytes of %d were allocated", allocated, len(data)))
}
