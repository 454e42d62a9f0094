package limiter

import "sort"

// Excess returns the largest amount in tokens by which the charges of one team
// exceed burst + rate*t, over all intervals of any length t. It returns 0 if no
// interval exceeds it.
func Excess(charges []Charge, rate, burst float64) float64 {
	sorted := append([]Charge(nil), charges...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	// The excess of the worst interval that ends with a charge is the backlog
	// of a queue served at rate, less burst.
	worst, backlog := 0.0, 0.0
	for i, c := range sorted {
		if i > 0 {
			backlog = max(0, backlog-rate*(c.At-sorted[i-1].At).Seconds())
		}
		backlog += c.Amount
		worst = max(worst, backlog-burst)
	}
	if worst < excessTolerance {
		return 0
	}
	return worst
}

const excessTolerance = 1e-6 // tokens, for rounding errors
