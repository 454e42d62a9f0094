package planner

import (
	"math"
	"time"

	"radishspoke"
)

// Work is the work that the engines of a group do.
type Work struct {
	Prefill  float64 // engines that would prefill all the time, by learned times
	Tokens   float64 // prompt tokens that engines read, per second
	Streams  float64 // answers in progress
	Memory   float64 // tokens that these answers hold in the caches of engines
	Transfer float64 // engines that would fetch KV caches all the time

	// Limited is the part of the decode engines, in engines, whose work their stated limits
	// keep from them.
	Limited float64
}

// LimitedEngines returns Work.Limited for decode engines with the given limits out of n decode
// engines that are asked for some answers, all in requests a second.
func LimitedEngines(limits []float64, n int, asked float64) float64 {
	lost := 0.0
	for _, l := range limits {
		if mean := asked / float64(n); l < mean {
			lost += 1 - l/mean
		}
	}
	return lost
}

const (
	// decodeUse is the part of the capacity of decode engines that a peak may use. If
	// they are overloaded, the prefills of what they refuse are wasted and streams
	// stall; if prefill engines are, prompts wait.
	decodeUse = 0.6

	// prefillUse is the part of the time that prefill engines may be busy.
	prefillUse = 0.85

	// peakLife is the time constant with which a peak of answers is forgotten. A
	// change of roles takes seconds, so that engines are kept for a peak that comes
	// back.
	peakLife = 20 * time.Second

	// learningTime is the time after the first work for which the times of engines are
	// guesses, and speedLife the time constant with which their learned speed is
	// forgotten.
	learningTime = 5 * time.Second
	speedLife    = 10 * time.Minute

	// minShare and maxShare bound the share of prefill engines. A mix that shifts
	// within seconds finds some engines of the other role.
	minShare = 0.15
	maxShare = 0.85

	// minWork is the work, in engines, below which the mix is unknown.
	minWork = 0.05
)

// Divider divides the engines of one group between the roles prefill and decode. The
// zero value is ready for use.
type Divider struct {
	peak   float64 // decode engines that the recent answers needed
	peakAt time.Duration
	known  bool    // peak and first are set
	first  float64 // share of decode engines at first

	since   time.Duration // of the first work
	speed   float64       // greatest recent number of tokens that an engine reads per second; 0 if not known
	speedAt time.Duration
}

// PrefillShare returns the share of the engines of a group that should prefill. Of n
// engines, of which prefilling have that role now, those decode that the recent peak
// of answers needs, by the scarcest of their slots, caches and links. All others
// prefill if those that do are busy. Otherwise at least the share of engines decodes that
// did at first: a peak of answers comes back faster than roles change, and what decode
// engines refuse has been prefilled for nothing. Engines that their limits keep from work are replaced. At first,
// the present division counts as the need of an earlier peak. If there are too few engines
// for both, they are divided in proportion. The result ok is false if there is too little
// work to tell.
func (d *Divider) PrefillShare(now time.Duration, w Work, l *radishspoke.EngineLimits, n, prefilling int) (share float64, ok bool) {
	if l == nil || n == 0 {
		return 0, false
	}
	decode := w.Transfer
	if l.Slots > 0 {
		decode = max(decode, w.Streams/float64(l.Slots))
	}
	if l.CacheTokens > 0 {
		decode = max(decode, w.Memory/float64(l.CacheTokens))
	}
	if w.Prefill+decode < minWork {
		return 0, false
	}
	if !d.known {
		d.known, d.peak, d.peakAt, d.since = true, decodeUse*float64(n-prefilling), now, now
		d.first = 1 - float64(prefilling)/float64(n)
	}
	if w.Limited == 0 { // otherwise the answers that were refused are missing
		d.peak *= math.Exp(-float64(now-d.peakAt) / float64(peakLife))
	}
	d.peak, d.peakAt = max(decode, d.peak), now
	decode = d.peak/decodeUse + w.Limited
	// Work that has been done can't exceed the engines that did it.
	prefill := min(d.prefillWork(now, w), float64(prefilling)) / prefillUse
	switch {
	case decode+prefill > float64(n):
		decode *= float64(n) / (decode + prefill)
	case prefill < float64(prefilling):
		decode = max(decode, d.first*float64(n))
	}
	return min(maxShare, max(minShare, 1-decode/float64(n))), true
}

// prefillWork returns the number of engines that would prefill all the time. Times that were
// learned while prompts waited make it seem several times higher in a rush, so that the tokens
// are divided by the greatest speed that the engines have shown.
func (d *Divider) prefillWork(now time.Duration, w Work) float64 {
	if w.Tokens <= 0 || w.Prefill < minWork || now-d.since < learningTime {
		return w.Prefill
	}
	d.speed *= math.Exp(-float64(now-d.speedAt) / float64(speedLife))
	d.speed, d.speedAt = max(d.speed, w.Tokens/w.Prefill), now
	return w.Tokens / d.speed
}
