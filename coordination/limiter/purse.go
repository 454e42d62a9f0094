package limiter

import (
	"time"

	"radishspoke/internal/breaker"
)

// Grant is an amount that an entry may charge until it expires.
type Grant struct {
	Epoch   int64
	ID      uint64
	Amount  float64
	Expires time.Duration
}

// Part is what a charge took out of one grant, or what is given back to it.
type Part struct {
	Epoch  int64
	Grant  uint64
	Amount float64
}

// Receipt is one charge.
type Receipt struct {
	At    time.Duration
	Parts []Part
}

// Purse holds one team's grants at one entry. It is a pure core; the zero
// value is an empty purse.
type Purse struct {
	grants []Grant
}

// Add puts a grant in.
func (p *Purse) Add(g Grant) { p.grants = append(p.grants, g) }

// Left returns what can be charged now.
func (p *Purse) Left(now time.Duration) float64 {
	sum := 0.0
	for _, g := range p.grants {
		if now < g.Expires || breaker.Is(breaker.Validity) {
			sum += g.Amount
		}
	}
	return sum
}

// Charge takes amount out, oldest grants first, if there is as much.
func (p *Purse) Charge(now time.Duration, amount float64) (Receipt, bool) {
	if p.Left(now) < amount {
		return Receipt{}, false
	}
	out := Receipt{At: now}
	for i := range p.grants {
		g := &p.grants[i]
		if now >= g.Expires && !breaker.Is(breaker.Validity) || g.Amount == 0 {
			continue
		}
		part := min(g.Amount, amount)
		g.Amount -= part
		amount -= part
		out.Parts = append(out.Parts, Part{Epoch: g.Epoch, Grant: g.ID, Amount: part})
		if amount <= 0 {
			break
		}
	}
	return out, true
}

// Expire drops grants that are spent or too old, and returns what was left of
// them.
func (p *Purse) Expire(now time.Duration) []Part {
	var out []Part
	kept := p.grants[:0]
	for _, g := range p.grants {
		if (now < g.Expires || breaker.Is(breaker.Validity)) && g.Amount > 0 {
			kept = append(kept, g)
			continue
		}
		if g.Amount > 0 {
			out = append(out, Part{Epoch: g.Epoch, Grant: g.ID, Amount: g.Amount})
		}
	}
	p.grants = kept
	return out
}

// Settle returns what a charge took beyond the amount used.
func (r Receipt) Settle(used float64) []Part {
	var out []Part
	for _, p := range r.Parts {
		spent := min(used, p.Amount)
		used -= spent
		if left := p.Amount - spent; left > 0 {
			out = append(out, Part{Epoch: p.Epoch, Grant: p.Grant, Amount: left})
		}
	}
	return out
}
