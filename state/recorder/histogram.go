package recorder

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// What a histogram tells apart, in microseconds: two digits of what takes from
// 100 µs to an hour. One takes about 20 KB.
const (
	leastTold  = 100
	mostTold   = int64(time.Hour / time.Microsecond)
	digitsTold = 2
)

// histogram is a metrics.Histogram of all values since its start, unlike those
// of go-metrics, which keep a sample of the newest ones.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
	sum    int64
}

var _ metrics.Histogram = (*histogram)(nil)

func newHistogram() metrics.Histogram {
	return &histogram{values: hdrhistogram.New(leastTold, mostTold, digitsTold)}
}

// Update takes a value; one that is out of bounds counts as the nearest bound.
func (h *histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v = min(max(v, 0), mostTold)
	_ = h.values.RecordValue(v) // in bounds
	h.sum += v
}

// Clear forgets all values.
func (h *histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values.Reset()
	h.sum = 0
}

// Snapshot returns a copy that stays as it is.
func (h *histogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &histogram{values: hdrhistogram.Import(h.values.Export()), sum: h.sum}
}

// read returns what f reads.
func read[T any](h *histogram, f func(*hdrhistogram.Histogram) T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f(h.values)
}

// Count returns the number of values.
func (h *histogram) Count() int64 { return read(h, (*hdrhistogram.Histogram).TotalCount) }

// Max returns the greatest value.
func (h *histogram) Max() int64 { return read(h, (*hdrhistogram.Histogram).Max) }

// Min returns the least value.
func (h *histogram) Min() int64 { return read(h, (*hdrhistogram.Histogram).Min) }

// Mean returns the mean.
func (h *histogram) Mean() float64 { return read(h, (*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation.
func (h *histogram) StdDev() float64 { return read(h, (*hdrhistogram.Histogram).StdDev) }

// Variance returns the square of the standard deviation.
func (h *histogram) Variance() float64 {
	d := h.StdDev()
	return d * d
}

// Sum returns the sum of all values.
func (h *histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Percentile returns the value that a part of all values, from 0 to 1, does not
// exceed.
func (h *histogram) Percentile(part float64) float64 { return h.Percentiles([]float64{part})[0] }

// Percentiles returns one value for each part.
func (h *histogram) Percentiles(parts []float64) []float64 {
	return read(h, func(v *hdrhistogram.Histogram) []float64 {
		out := make([]float64, len(parts))
		for i, p := range parts {
			out[i] = float64(v.ValueAtQuantile(100 * p))
		}
		return out
	})
}

// Sample returns none: all values count.
func (h *histogram) Sample() metrics.Sample { return metrics.NilSample{} }
