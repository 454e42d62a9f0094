package admitter

import (
	"math"
	"time"
)

const (
	// memory is the time constant of the measured rates.
	memory = 100 * time.Millisecond

	// slowMemory is the time constant of the rate that counts as long as the difference of
	// the newest one may be chance.
	slowMemory = 1500 * time.Millisecond

	// window is the time over which a rate with the time constant memory has as many samples
	// as its variance shows.
	window = 2 * memory

	// historyStep is the time between two values of the history of a rate, and historySize
	// their number. It covers the age of the reports of others.
	historyStep = 100 * time.Millisecond
	historySize = 16

	// workWeight is the weight of the newest request in the mean work of a class.
	workWeight = 0.05

	// shareWeight is the weight of the newest request in the shares of a class.
	shareWeight = 0.05

	// doubt is the square of the number of standard deviations at which a change of a rate is
	// taken to be half real.
	doubt = 4.0

	// maxScale bounds the change by which reports of others are scaled.
	maxScale = 4.0
)

// rate is the rate of the requests of one class at this process, and their mean work.
type rate struct {
	count   float64 // of requests, decaying with the time constant memory
	at      time.Duration
	mean    resources
	shares  [orders]float64      // moving shares of the requests by their order in the class
	history [historySize]float64 // the rate at the ends of the last steps, the newest first
	step    int64                // number of the step that history ends with
}

// perSecond returns the rate at a time.
func (r *rate) perSecond(now time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(memory)) / memory.Seconds()
}

// advance records the history up to a time.
func (r *rate) advance(now time.Duration) {
	step := int64(now / historyStep)
	for n := min(step-r.step, historySize); n > 0; n-- {
		copy(r.history[1:], r.history[:])
		r.history[0] = r.perSecond(time.Duration(step-n+1) * historyStep)
	}
	r.step = step
}

// add counts a request with a place in the order of the class.
func (r *rate) add(now time.Duration, w resources, o order) {
	r.advance(now)
	for i := range r.shares {
		r.shares[i] -= shareWeight * r.shares[i]
	}
	r.shares[o] += shareWeight
	if r.mean == (resources{}) {
		r.mean = w
	}
	r.mean = r.mean.plus(w, workWeight).plus(r.mean, -workWeight)
	r.count = r.perSecond(now)*memory.Seconds() + 1
	r.at = now
}

// change returns the factor by which the rate has changed since a time, as far as the change
// is no chance.
func (r *rate) change(now, since time.Duration) float64 {
	r.advance(now)
	back := int64(now/historyStep) - int64(since/historyStep)
	if back <= 0 || back > historySize {
		return 1
	}
	before, after := r.history[back-1]*window.Seconds(), r.perSecond(now)*window.Seconds()
	factor := (after + 2) / (before + 2)
	return min(maxScale, max(1/maxScale, 1+significance(after-before, after+before)*(factor-1)))
}

// order is the place of a request in the order of its class.
type order int

const (
	retried order = iota // a rejected request that comes back and can be on time
	newcomer
	late // the objective can't be met
	orders
)

// fraction returns the fraction of the requests at a place that is admitted, if those at
// earlier places go first and a fraction of all is admitted.
func (r *rate) fraction(ofAll float64, o order) float64 {
	sum, before := r.sum(), 0.0
	for _, s := range r.shares[:o] {
		before += s / sum
	}
	return min(1, max(0, ofAll-before)/max(r.shares[o]/sum, shareWeight))
}

// sum returns the sum of the shares, which is below 1 after few requests.
func (r *rate) sum() float64 {
	out := 0.0
	for _, s := range r.shares {
		out += s
	}
	return out
}

// retries returns the share of retries.
func (r *rate) retries() float64 { return r.shares[retried] / r.sum() }

// significance returns the part of a difference of numbers that is taken to be real. The
// variance is that of the difference.
func significance(difference, variance float64) float64 {
	z := difference * difference / (variance + 1)
	return z / (z + doubt)
}

// total is the demand of one class at all processes.
type total struct {
	slow  float64 // requests a second, smoothed with the time constant slowMemory
	known bool
}

// update returns the estimate of the rate by the newest sum, after the time passed since the
// last one.
func (t *total) update(fast float64, passed time.Duration) float64 {
	if !t.known {
		t.known, t.slow = true, fast
	}
	certain := significance((fast-t.slow)*window.Seconds(), t.slow*window.Seconds())
	life := certain*float64(memory) + (1-certain)*float64(slowMemory)
	t.slow += (1 - math.Exp(-float64(passed)/life)) * (fast - t.slow)
	return t.slow + certain*(fast-t.slow)
}
