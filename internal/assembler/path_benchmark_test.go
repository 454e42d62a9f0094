package assembler

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishspoke/internal/fake"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

const (
	benchTokens  = 200
	benchStep    = 10 * time.Millisecond
	benchStagger = 200 * time.Millisecond // time over which the starts of the streams are distributed
)

// BenchmarkAddedPath measures the overhead of an entry and a sidecar for streamed
// responses, compared with direct calls to the same engines in the same run. For
// each number of concurrent streams it reports quantiles of the time to the first
// token of direct calls and their increase through the entry, in milliseconds,
// and the additional CPU time and allocations per token.
func BenchmarkAddedPath(b *testing.B) {
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) { benchPath(b, streams) })
	}
}

func benchPath(b *testing.B, streams int) {
	s := DevSettings{Inventory: []byte(testInventory), Engine: func(e *fake.EngineSettings) {
		e.Slots, e.Blocks, e.StepBase, e.PrefillCost, e.DecodeCost = 2*streams, 1<<16, benchStep, -1, -1
	}}
	s.Inventory = bytes.ReplaceAll(s.Inventory, []byte("kind = engine\n"), fmt.Appendf(nil, "kind = engine\nslots = %d\n", 2*streams))
	s.Inventory = bytes.ReplaceAll(s.Inventory, []byte("rate = 100000\nburst = 200000"), []byte("rate = 10000000\nburst = 20000000"))
	s.Inventory = bytes.ReplaceAll(s.Inventory, []byte("[rules]"), []byte("[rules]\nqueue-limit = 100000"))
	d, err := NewDev(context.Background(), s, Environment{
		Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: slog.New(slog.DiscardHandler), Seed: 1,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	time.Sleep(4 * time.Second)
	var direct, viaEntry sample
	for b.Loop() {
		direct.add(b, streams, func(i int) *http.Request { return directRequest(i) })
		viaEntry.add(b, streams, func(i int) *http.Request { return callerRequest(d, i) })
	}
	b.ReportMetric(direct.quantile(50), "direct-p50-ms")
	b.ReportMetric(direct.quantile(99), "direct-p99-ms")
	b.ReportMetric(viaEntry.quantile(50)-direct.quantile(50), "added-p50-ms")
	b.ReportMetric(viaEntry.quantile(99)-direct.quantile(99), "added-p99-ms")
	b.ReportMetric(viaEntry.perToken(viaEntry.cpu)-direct.perToken(direct.cpu), "added-cpu-µs/token")
	b.ReportMetric(viaEntry.perToken(viaEntry.mallocs)-direct.perToken(direct.mallocs), "added-allocs/token")
}

// directRequest returns a request to one of the engines. Successive values of i
// choose the engines in turn, so that the load is distributed as by the entries.
func directRequest(i int) *http.Request {
	body, err := json.Marshal(fake.GenerateRequest{ID: fmt.Sprint(i, rand.Uint64()), Model: "m", Prompt: benchPrompt(i), MaxTokens: benchTokens})
	if err != nil {
		panic(err)
	}
	q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/v1/generate", 1101+i%2), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	return q
}

// callerRequest returns a request to one of the entries. Successive values of i
// choose the entries in turn.
func callerRequest(d *Dev, i int) *http.Request {
	q, err := http.NewRequest(http.MethodPost, "http://"+DevCallerAddress(i%2)+"/v1/chat/completions", bytes.NewReader([]byte(chatBody(benchPrompt(i), benchTokens))))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+d.Secrets["big"])
	return q
}

// benchPrompt returns a prompt whose completion has at least benchTokens tokens.
func benchPrompt(i int) string {
	for n := 0; ; n++ {
		p := fmt.Sprintf("stream %d.%d", i, n)
		if fake.AnswerLength("m", p, benchTokens) == benchTokens && fake.AnswerLength("m", "user: "+p+"\n", benchTokens) == benchTokens {
			return p
		}
	}
}

// sample accumulates the measurements of several rounds of streams.
type sample struct {
	first   *hdrhistogram.Histogram // time to the first token, in µs
	cpu     float64                 // in µs
	mallocs float64
	tokens  float64
}

func (s *sample) quantile(q float64) float64   { return float64(s.first.ValueAtQuantile(q)) / 1000 }
func (s *sample) perToken(sum float64) float64 { return sum / s.tokens }

// add runs one round of concurrent streams and adds its measurements.
func (s *sample) add(b *testing.B, streams int, request func(i int) *http.Request) {
	if s.first == nil {
		s.first = hdrhistogram.New(1, 60_000_000, 3)
	}
	client := &http.Client{Transport: transport.HTTP(&transport.TCP{})}
	defer client.CloseIdleConnections()
	requests := make([]*http.Request, streams)
	for i := range requests {
		requests[i] = request(i)
	}
	runtime.GC()
	cpu, mallocs := usage()
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, q := range requests {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(benchStagger * time.Duration(i) / time.Duration(streams))
			first, err := readStream(client, q)
			if err != nil {
				b.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = s.first.RecordValue(first.Microseconds())
		}()
	}
	group.Wait()
	cpuAfter, mallocsAfter := usage()
	s.cpu += cpuAfter - cpu
	s.mallocs += mallocsAfter - mallocs
	s.tokens += float64(streams * benchTokens)
}

// readStream sends a request, reads the complete stream, and returns the time to
// the first line that is not empty.
func readStream(c *http.Client, q *http.Request) (time.Duration, error) {
	start := time.Now()
	resp, err := c.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	r := bufio.NewReader(resp.Body)
	first := time.Duration(0)
	for {
		l, err := r.ReadSlice('\n')
		if err == io.EOF {
			return first, nil
		}
		if err != nil {
			return 0, err
		}
		if first == 0 && len(l) > 1 {
			first = time.Since(start)
		}
	}
}

// usage returns the CPU time of this process in µs, and the number of its heap
// allocations.
func usage() (cpu, mallocs float64) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	us := func(t syscall.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }
	return us(r.Utime) + us(r.Stime), float64(m.Mallocs)
}
