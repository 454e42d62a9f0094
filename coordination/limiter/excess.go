package limiter

import "sort"

// Excess returns by how much charges of one team exceed burst + rate*t, at
// most, over all intervals of any length t; 0 if they never do.
func Excess(charges []Charge, rate, burst float64) float64 {
	list := append([]Charge(nil), charges...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	// The worst interval that ends with a charge is found as the backlog
	// of a queue served at the rate.
	worst, backlog := 0.0, 0.0
	for i, c := range list {
		if i > 0 {
			backlog = max(0, backlog-rate*(c.At-list[i-1].At).Seconds())
		}
		backlog += c.Amount
		worst = max(worst, backlog-burst)
	}
	if worst < excessSlack {
		return 0
	}
	return worst
}

const excessSlack = 1e-6 // tokens lost to rounding
