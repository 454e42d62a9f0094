package admitter

// resources is an amount of both resources of a group: seconds of prefill engines and
// seconds of slots.
type resources struct{ prefill, slot float64 }

func (r resources) plus(o resources, scale float64) resources {
	return resources{r.prefill + scale*o.prefill, r.slot + scale*o.slot}
}

// share returns the part of a demand, up to 1, for which r is enough.
func (r resources) share(demand resources) float64 {
	out := 1.0
	if demand.prefill > 0 {
		out = min(out, r.prefill/demand.prefill)
	}
	if demand.slot > 0 {
		out = min(out, r.slot/demand.slot)
	}
	return max(0, out)
}

const (
	// leastShare is the least fraction of a class relative to the largest one. It is above a
	// quarter, as some retries are taken for new requests.
	leastShare = 0.3

	// fractionSteps is the number of halvings of the interval in which the largest fraction
	// is searched for.
	fractionSteps = 16

	// roundOff is the part of a capacity that rounding errors may exceed.
	roundOff = 1e-9
)

// fractions returns the fraction of each class that is admitted. The demands are in the order
// of the classes, in resources per second, as is the supply. Fresh has the part of each class
// that is no retries. Fractions are compared relative to it, as the retries of a request were
// counted when it was new.
func fractions(demands []resources, fresh []float64, supply resources) []float64 {
	out, largest := fill(demands, fresh, supply, 1)
	if largest >= 1 {
		return out
	}
	low, high := 0.0, 1.0
	out, _ = fill(demands, fresh, supply, 0)
	for range fractionSteps {
		mid := (low + high) / 2
		if f, top := fill(demands, fresh, supply, mid); top >= mid {
			low, out = mid, f
		} else {
			high = mid
		}
	}
	return out
}

// fill gives each class its least share of the fraction largest, and what is left to the first
// classes. It also returns the largest fraction that a class got, or -1 if the supply is too
// small for the least shares.
func fill(demands []resources, fresh []float64, supply resources, largest float64) (out []float64, top float64) {
	left := supply
	for i, d := range demands {
		left = left.plus(d, -leastShare*largest*fresh[i])
	}
	if left.prefill < -roundOff*supply.prefill || left.slot < -roundOff*supply.slot {
		return nil, -1
	}
	out = make([]float64, len(demands))
	for i, d := range demands {
		floor := leastShare * largest * fresh[i]
		add := min(1-floor, left.share(d))
		out[i] = floor + add
		left = left.plus(d, -add)
		top = max(top, out[i]/fresh[i])
	}
	return out, top
}
