package connector_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"radishspoke"
	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
	"radishspoke/transport"
	"radishspoke/transport/connector"
	"radishspoke/transport/listener"
)

// countingNetwork counts the bytes that the dialling side sends and receives.
type countingNetwork struct {
	radishspoke.Network
	bytes atomic.Int64
}

func (c *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	n, err := c.Network.Dial(ctx, address)
	return &countingConn{Conn: n, bytes: &c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

const (
	benchInterval = 20 * time.Millisecond
	benchTime     = 2 * time.Second
)

// BenchmarkSessions measures the CPU time and the bytes per probe, and the memory
// per session, as sums over both ends.
func BenchmarkSessions(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchSessions(b, n)
			}
		})
	}
}

func benchSessions(b *testing.B, n int) {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network := &countingNetwork{Network: &transport.TCP{}}
	load := &wire.Load{Target: "engine-100", Running: 12, PrefillTokens: 9000, FreeBlocks: 100, TotalBlocks: 256, Role: "both", Model: "venue-reader", Version: "2026-05"}
	handleProbe := func(*wire.Probe) *wire.ProbeReply {
		return &wire.ProbeReply{Process: "sidecar-engine-100", ConfigVersion: 2100, FreshAgeMs: 500, Incarnation: 1 << 60, Load: load}
	}
	var addresses []string
	for range n {
		l, err := network.Listen("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		s := listener.New(encoder.Methods{}, time.Second, handleProbe, slog.New(slog.DiscardHandler))
		go func() { _ = s.Serve(ctx, l) }()
		defer s.Close()
		addresses = append(addresses, l.Addr().String())
	}
	var probes atomic.Int64
	newProbe := func() *wire.Probe { return &wire.Probe{Process: "entry-100", ConfigVersion: 2100, FreshAgeMs: 500} }
	p := connector.New(network, connector.Settings{ProbeInterval: benchInterval}, newProbe, func(connector.ProbeResult) { probes.Add(1) })
	defer p.Close()
	p.EnsureSessions(addresses)
	time.Sleep(benchTime / 2)
	memory := memoryInUse() - before
	cpu, sent, count := cpuTime(), network.bytes.Load(), probes.Load()
	time.Sleep(benchTime)
	nProbes := float64(probes.Load() - count)
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/1000/nProbes, "µs/probe")
	b.ReportMetric(float64(network.bytes.Load()-sent)/nProbes, "B/probe")
	b.ReportMetric(memory/float64(n), "B/session")
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkCall measures the CPU time and the bytes of one request and its reply on
// an existing session, as sums over both ends.
func BenchmarkCall(b *testing.B) {
	network := &countingNetwork{Network: &transport.TCP{}}
	l, err := network.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	reply := func(context.Context, *wire.Budget) (*wire.BudgetReply, error) {
		return &wire.BudgetReply{Owner: true, Epoch: 1 << 60, Grant: 100000, Amount: 2000, ValidMs: 500, Most: 100000}, nil
	}
	s := listener.New(encoder.Methods{"budget": encoder.Unary(reply)}, time.Minute,
		func(*wire.Probe) *wire.ProbeReply { return &wire.ProbeReply{} }, slog.New(slog.DiscardHandler))
	ctx := b.Context()
	go func() { _ = s.Serve(ctx, l) }()
	defer s.Close()
	p := connector.New(network, connector.Settings{ProbeInterval: time.Minute}, func() *wire.Probe { return &wire.Probe{} }, func(connector.ProbeResult) {})
	defer p.Close()
	q := &wire.Budget{Process: "entry-100", Team: "team-100", Need: 1000, Want: 2000, Refunds: []*wire.Refund{{Grant: 1, Epoch: 1 << 60, Amount: 500}}}
	cpu, sent := cpuTime(), network.bytes.Load()
	n := 0
	for b.Loop() {
		if _, err := connector.Call[wire.BudgetReply](ctx, p, l.Addr().String(), "budget", q); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/1000/float64(n), "cpu-µs/call")
	b.ReportMetric(float64(network.bytes.Load()-sent)/float64(n), "B/call")
}
