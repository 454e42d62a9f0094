package watcher_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"radishspoke"
	"radishspoke/state/watcher"
	"radishspoke/transport/ticker"
)

// document returns a configuration with n targets, n/2 teams and n/2 keys, as JSON.
func document(n int) []byte {
	var t strings.Builder
	t.WriteString("[zone a]\n[model m]\nversion = 1\n")
	d := radishspoke.Document{}
	for i := range n {
		fmt.Fprintf(&t, "[host h%d]\nzone = a\n[target t%d]\nhost = h%d\nkind = engine\nmodel = m\naddress = 10.0.%d.%d:1\nsidecar = 10.0.%d.%d:2\n",
			i, i, i, i/250, i%250, i/250, i%250)
		if i%2 == 0 {
			fmt.Fprintf(&t, "[team t%d]\nrate = 1000\nburst = 5000\n", i)
			d.Keys = append(d.Keys, radishspoke.Key{ID: fmt.Sprintf("t%d-1", i), Team: fmt.Sprintf("t%d", i), Hash: strings.Repeat("0", 64)})
		}
	}
	d.Inventory = t.String()
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}

// BenchmarkDecode measures the decoding and checking of one configuration.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{100, 400, 830} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			data := document(n)
			hash := watcher.Hash(data)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := watcher.Decode(1, hash, data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/document")
			b.ReportMetric(float64(compressedSize(b, data)), "B/packed")
		})
	}
}

// compressedSize returns the size of a document in its compressed form, in bytes.
func compressedSize(b *testing.B, data []byte) int {
	w := watcher.New(nil, ticker.NewMonotonicClock(), slog.New(slog.DiscardHandler))
	if err := w.Accept(1, watcher.Hash(data), data); err != nil {
		b.Fatal(err)
	}
	_, _, compressed := w.Compressed()
	return len(compressed)
}
