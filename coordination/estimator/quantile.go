package estimator

import "math"

const (
	// firstStep is the relative step of a quantile after its second sample, and
	// leastStep the step after many.
	firstStep = 0.5
	leastStep = 0.04
)

// quantile is a running estimate of a quantile of positive samples. Each sample
// moves it by a relative step, whose size does not depend on the sample, so that
// single outliers have no more weight than other samples.
type quantile struct {
	share float64 // of the samples that are below the quantile
	value float64
	count int
}

func (q *quantile) add(x float64) {
	if !positive(x) {
		return
	}
	q.count++
	if q.count == 1 {
		q.value = x
		return
	}
	step := max(leastStep, firstStep/float64(q.count-1))
	if x < q.value {
		q.value = max(x, q.value*math.Exp(-step*(1-q.share)*2))
	} else {
		q.value = min(x, q.value*math.Exp(step*q.share*2))
	}
}

// get returns the quantile, or guess if there is no sample.
func (q *quantile) get(guess float64) float64 {
	if q.count == 0 {
		return guess
	}
	return q.value
}
