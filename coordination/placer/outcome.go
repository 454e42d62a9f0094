package placer

import "time"

// Begin notes that a request goes to a target.
func (p *Placer) Begin(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.targets[id]; ok {
		t.busy++
	}
}

// Report is what became of a request at a target.
type Report struct {
	Failed   bool // the target did not do what it was asked
	Silent   bool // it gave no sign of life
	Waiting  int  // requests that wait there
	Slots    int  // 0 if the target does not tell
	Unasked  bool // the request ended for a reason of its own
	NotReady bool // the target refused, for now

	// Source is the engine whose KV cache was to be handed over; empty if
	// there was none. Took is the time until the target answered.
	Source string
	Took   time.Duration
}

// End notes what became of a request at a target.
func (p *Placer) End(id string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[id]
	if !ok {
		return
	}
	t.busy = max(0, t.busy-1)
	if r.Slots > 0 {
		t.waiting, t.slots = r.Waiting, r.Slots
	}
	if r.Unasked {
		return
	}
	now := p.clock.Now()
	outcome := 0.0
	if r.Failed || r.Silent {
		outcome = 1
	}
	t.failed += failureWeight * (outcome - t.failed)
	switch {
	case r.Silent:
		t.eject(now)
	case r.NotReady:
		t.refusals++
		if t.Role != "" && t.refusals >= manyRefusals {
			t.ejected = now + min(mostEjection, firstEjection<<min(t.refusals-manyRefusals, 8))
		}
	case !r.Failed:
		t.failures, t.refusals, t.ejected = 0, 0, 0
	}
	if r.Source != "" {
		p.handedOver(t, r, now)
	}
}

// handedOver learns from the hand-over of a KV cache.
func (p *Placer) handedOver(t *target, r Report, now time.Duration) {
	source, ok := p.targets[r.Source]
	if !ok {
		return
	}
	switch {
	case r.NotReady && t.refusals < manyRefusals:
		// The engine takes what others have read, so the cache has lapsed.
		source.lapses++
		if source.lapses >= manyLapses {
			source.lapsing = now + lapseEjection
		}
	case !r.Failed && !r.Silent:
		source.lapses = 0
		t.pace += time.Duration(paceWeight * float64(min(r.Took, mostPace)-t.pace))
	}
}

func (t *target) eject(now time.Duration) {
	t.ejected = now + min(mostEjection, firstEjection<<min(t.failures, 8))
	t.failures++
}
