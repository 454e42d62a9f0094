package fleetlimiter

import "time"

// windowSlots is the number of slots of a windowSum. Charges expire one slot late
// at most.
const windowSlots = 40

// windowSum holds the sum of the amounts that were added within the last window.
// A nil windowSum ignores all calls.
type windowSum struct {
	slot  time.Duration // length of a slot
	start time.Duration // start of the newest slot
	next  int           // index of the newest slot
	slots [windowSlots + 1]float64
	sum   float64
}

func newWindowSum(window, now time.Duration) *windowSum {
	return &windowSum{slot: window / windowSlots, start: now}
}

// advance removes the amounts that are older than the window.
func (w *windowSum) advance(now time.Duration) {
	if w == nil {
		return
	}
	if now-w.start > (windowSlots+1)*w.slot {
		*w = windowSum{slot: w.slot, start: now}
		return
	}
	for now-w.start >= w.slot {
		w.start += w.slot
		w.next = (w.next + 1) % len(w.slots)
		w.sum -= w.slots[w.next]
		w.slots[w.next] = 0
	}
}

// add adds an amount to the newest slot.
func (w *windowSum) add(amount float64) {
	if w == nil {
		return
	}
	w.slots[w.next] += amount
	w.sum += amount
}

// remove subtracts an amount, from the oldest slots first. The sum is then never
// less than that of the amounts that remain.
func (w *windowSum) remove(amount float64) {
	if w == nil {
		return
	}
	for i := 1; i <= len(w.slots) && amount > 0; i++ {
		s := &w.slots[(w.next+i)%len(w.slots)]
		part := min(*s, amount)
		*s -= part
		w.sum -= part
		amount -= part
	}
}
