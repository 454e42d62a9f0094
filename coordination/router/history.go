package router

import "time"

const historyLength = 128 // values in a history

// history holds the recent values of this process's own load at a target, so
// that it can be subtracted from a report that was made some time ago. It is a
// ring buffer: when it is full, a new value replaces the oldest one. The zero
// value is empty.
type history struct {
	ring  [historyLength]ownLoad
	next  int
	count int
}

// ownLoad is this process's own load at a target from a point in time on: its
// requests that have not ended, and the prompt tokens of those whose answer has
// not begun.
type ownLoad struct {
	at             time.Duration
	outstanding    int
	pendingPrefill int
}

// add appends a value, which must be no older than those before.
func (h *history) add(l ownLoad) {
	h.ring[h.next] = l
	h.next = (h.next + 1) % historyLength
	h.count = min(h.count+1, historyLength)
}

// at returns the load at a point in time. For a time before the oldest value, it
// returns the oldest value if older ones have been replaced, and else the zero
// value.
func (h *history) at(t time.Duration) ownLoad {
	out := ownLoad{}
	for i := 1; i <= h.count; i++ {
		out = h.ring[(h.next-i+historyLength)%historyLength]
		if out.at <= t {
			return out
		}
	}
	if h.count < historyLength {
		return ownLoad{} // nothing was sent before the first value
	}
	return out
}
