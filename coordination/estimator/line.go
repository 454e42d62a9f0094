package estimator

import (
	"sort"
	"time"
)

// sample is the time that an engine took to read a number of tokens.
type sample struct {
	tokens float64
	took   float64 // seconds
}

const (
	// lineSamples is the number of newest samples to which a line is fitted.
	lineSamples = 96

	// minLineSamples is the number of samples from which on a line is fitted.
	minLineSamples = 4

	// fitRounds is the number of rounds in which slope and base are fitted by
	// turns. Each round halves the error of the base or better.
	fitRounds = 3

	// lineQuantile is the quantile of the times that the line goes through. Half of
	// the prompts or more wait behind others under load.
	lineQuantile = 0.3
)

// line is a model of the time to read a prompt.
type line struct {
	base  float64 // seconds, besides the tokens
	slope float64 // seconds per token

	samples []sample // the newest ones, as a ring
	next    int
	count   int // of samples so far
}

// add adds a sample and fits the line again, at first after each sample.
func (l *line) add(tokens int, took time.Duration) {
	s := sample{float64(tokens), took.Seconds()}
	if len(l.samples) < lineSamples {
		l.samples = append(l.samples, s)
	} else {
		l.samples[l.next] = s
		l.next = (l.next + 1) % lineSamples
	}
	l.count++
	if l.count >= minLineSamples && (l.count < lineSamples/4 || l.count%8 == 0) {
		l.fit()
	}
}

// fit draws the line: large prompts decide on the slope, small ones on the base.
func (l *line) fit() {
	list := append([]sample(nil), l.samples...)
	sort.Slice(list, func(i, j int) bool { return list[i].tokens < list[j].tokens })
	small, large := list[:len(list)/2], list[len(list)/2:]
	l.base = 0
	for range fitRounds {
		l.slope = lowQuantile(large, func(s sample) float64 { return max(0, s.took-l.base) / s.tokens })
		l.base = max(0, lowQuantile(small, func(s sample) float64 { return s.took - l.slope*s.tokens }))
	}
}

// lowQuantile returns lineQuantile of the values of the samples.
func lowQuantile(list []sample, value func(sample) float64) float64 {
	values := make([]float64, len(list))
	for i, s := range list {
		values[i] = value(s)
	}
	sort.Float64s(values)
	return values[int(lineQuantile*float64(len(values)))]
}

func (l *line) at(tokens int) float64 { return l.base + l.slope*float64(tokens) }
