package limiter

import (
	"time"

	"radishspoke/internal/disabler"
)

// Grant is an amount of tokens that an entry may charge until the grant expires.
type Grant struct {
	Epoch   int64
	ID      uint64
	Amount  float64
	Expires time.Duration
}

// GrantPart is an amount in tokens that was charged against one grant, or that is
// to be refunded to it.
type GrantPart struct {
	Epoch  int64
	Grant  uint64
	Amount float64
}

// Receipt records the time of one charge and the grants that paid for it.
type Receipt struct {
	At    time.Duration
	Parts []GrantPart
}

// GrantSet holds the grants of one team at one entry. It does no I/O and reads
// no clock. The zero value is an empty set.
type GrantSet struct {
	grants []Grant
}

// Add adds a grant to the set.
func (s *GrantSet) Add(g Grant) { s.grants = append(s.grants, g) }

// Remaining returns the amount in tokens that can be charged at now.
func (s *GrantSet) Remaining(now time.Duration) float64 {
	sum := 0.0
	for _, g := range s.grants {
		if now < g.Expires || disabler.Disabled(disabler.GrantExpiry) {
			sum += g.Amount
		}
	}
	return sum
}

// Charge takes amount from the grants in the order in which they were added.
// It returns false and takes nothing if less than amount remains.
func (s *GrantSet) Charge(now time.Duration, amount float64) (Receipt, bool) {
	if s.Remaining(now) < amount {
		return Receipt{}, false
	}
	out := Receipt{At: now}
	for i := range s.grants {
		g := &s.grants[i]
		if now >= g.Expires && !disabler.Disabled(disabler.GrantExpiry) || g.Amount == 0 {
			continue
		}
		part := min(g.Amount, amount)
		g.Amount -= part
		amount -= part
		out.Parts = append(out.Parts, GrantPart{Epoch: g.Epoch, Grant: g.ID, Amount: part})
		if amount <= 0 {
			break
		}
	}
	return out, true
}

// Expire removes the grants that are used up or expired, and returns the
// unused amounts of the expired ones.
func (s *GrantSet) Expire(now time.Duration) []GrantPart {
	var out []GrantPart
	kept := s.grants[:0]
	for _, g := range s.grants {
		if (now < g.Expires || disabler.Disabled(disabler.GrantExpiry)) && g.Amount > 0 {
			kept = append(kept, g)
			continue
		}
		if g.Amount > 0 {
			out = append(out, GrantPart{Epoch: g.Epoch, Grant: g.ID, Amount: g.Amount})
		}
	}
	s.grants = kept
	return out
}

// Unused returns the parts of the charge that remain after the amount used has
// been subtracted. The amount is subtracted from the parts in their order.
func (r Receipt) Unused(used float64) []GrantPart {
	var out []GrantPart
	for _, p := range r.Parts {
		spent := min(used, p.Amount)
		used -= spent
		if left := p.Amount - spent; left > 0 {
			out = append(out, GrantPart{Epoch: p.Epoch, Grant: p.Grant, Amount: left})
		}
	}
	return out
}
