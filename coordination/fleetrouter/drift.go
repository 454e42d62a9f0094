package fleetrouter

import (
	"math"
	"time"
)

// driftHalfLives are the times among which the half-life of a reported value is chosen.
var driftHalfLives = [...]time.Duration{
	20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond, 160 * time.Millisecond, 320 * time.Millisecond,
	640 * time.Millisecond, 1280 * time.Millisecond, 2560 * time.Millisecond, 5120 * time.Millisecond,
}

const (
	// assumedHalfLife is used before minDriftSamples pairs of values are known.
	assumedHalfLife = 160 * time.Millisecond
	minDriftSamples = 16

	driftWeight   = 0.02 // weight of the newest pair in the moving averages
	maxDriftError = 4.0  // bounds the error of one pair, so that a single outlier does not decide
)

// drift learns from pairs of values that one target has reported in which time they return to
// the usual value: for each half-life it keeps how well the older value predicts the newer one.
type drift struct {
	errors  [len(driftHalfLives)]float64 // moving averages of the absolute error
	samples int
}

// observe records a pair of deviations from the usual value, of which the second was reported
// the given time after the first.
func (d *drift) observe(before, after float64, between time.Duration) {
	for i, h := range driftHalfLives {
		e := min(maxDriftError, math.Abs(after-before*agedWeight(between, h)))
		d.errors[i] += driftWeight * (e - d.errors[i])
	}
	d.samples++
}

// halfLife returns the time in which half of a deviation is gone.
func (d *drift) halfLife() time.Duration {
	if d.samples < minDriftSamples {
		return assumedHalfLife
	}
	best := 0
	for i, e := range d.errors {
		if e < d.errors[best] {
			best = i
		}
	}
	return driftHalfLives[best]
}

// agedWeight returns what a value of the given age counts, at most 1.
func agedWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}
