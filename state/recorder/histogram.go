package recorder

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Range of a histogram in microseconds, from 100 µs to one hour, and its precision
// in decimal digits. With these a histogram takes about 20 KB.
const (
	minValue          = 100
	maxValue          = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// histogram is a metrics.Histogram of all values, in microseconds, since it was
// created. The histograms of go-metrics keep only a sample of the newest values.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
	sum    int64
}

var _ metrics.Histogram = (*histogram)(nil)

// newHistogram returns an empty histogram.
func newHistogram() metrics.Histogram {
	return &histogram{values: hdrhistogram.New(minValue, maxValue, significantDigits)}
}

// Update adds a value in microseconds. A negative value counts as 0, and one above
// maxValue as maxValue.
func (h *histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v = min(max(v, 0), maxValue)
	_ = h.values.RecordValue(v) // v is in range
	h.sum += v
}

// Clear removes all values.
func (h *histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values.Reset()
	h.sum = 0
}

// Snapshot returns a copy that later updates do not change.
func (h *histogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &histogram{values: hdrhistogram.Import(h.values.Export()), sum: h.sum}
}

// read returns the result of f, which is called with h locked.
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

// Mean returns the mean of the values.
func (h *histogram) Mean() float64 { return read(h, (*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation of the values.
func (h *histogram) StdDev() float64 { return read(h, (*hdrhistogram.Histogram).StdDev) }

// Variance returns the variance of the values.
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

// Percentile returns the p-quantile of the values, for p from 0 to 1.
func (h *histogram) Percentile(p float64) float64 { return h.Percentiles([]float64{p})[0] }

// Percentiles returns the p-quantile of the values for each p in ps.
func (h *histogram) Percentiles(ps []float64) []float64 {
	return read(h, func(v *hdrhistogram.Histogram) []float64 {
		out := make([]float64, len(ps))
		for i, p := range ps {
			out[i] = float64(v.ValueAtQuantile(100 * p))
		}
		return out
	})
}

// Sample returns an empty sample, as a histogram does not sample its values.
func (h *histogram) Sample() metrics.Sample { return metrics.NilSample{} }
