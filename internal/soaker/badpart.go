package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"radishspoke"
)

const (
	badPartRate    = 0.1             // share of the long prompts with the bad part, while there is one
	repairTime     = time.Second     // time for which an engine that has crashed is down
	contactTime    = 3 * time.Second // time after which an undisturbed entry must know of the fifth crash
	allowedCrashes = 5
	allowedAfter   = 3 // requests with the part that may still reach engines
	badPart        = "bad"
)

// badPartCheck records what happens to requests with a part that crashes engines.
type badPartCheck struct {
	mu      sync.Mutex
	active  bool
	crashes []time.Time
	sent    map[string]*badRequest // by request ID
}

// badRequest is a request with the bad part.
type badRequest struct {
	sent     time.Time
	entry    *process
	arrivals int // at engines, while the entry was in touch
}

// setActive sets whether callers send requests with the bad part.
func (b *badPartCheck) setActive(active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = active
}

// draw reports whether a long prompt gets the bad part.
func (b *badPartCheck) draw(random *rand.Rand) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active && random.Float64() < badPartRate
}

// recordSent records that a caller sends a request with the bad part.
func (b *badPartCheck) recordSent(id string, entry *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sent == nil {
		b.sent = map[string]*badRequest{}
	}
	b.sent[id] = &badRequest{sent: time.Now(), entry: entry}
}

// recordArrival records that a request with the bad part has reached an engine, and
// whether it crashes the engine.
func (b *badPartCheck) recordArrival(id string, crashes bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.sent[id]; ok && r.entry.inTouch() {
		r.arrivals++
	}
	if crashes {
		b.crashes = append(b.crashes, time.Now())
	}
}

// evaluate returns a finding if too many requests with the bad part have reached engines
// that were sent later than contactTime after the fifth crash.
func (b *badPartCheck) evaluate() []Finding {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crashes) < allowedCrashes {
		return nil
	}
	arrived := 0
	for _, r := range b.sent {
		if r.sent.After(b.crashes[allowedCrashes-1].Add(contactTime)) {
			arrived += r.arrivals
		}
	}
	if arrived <= allowedAfter {
		return nil
	}
	return []Finding{{"crash", "", fmt.Sprintf("%d requests with a part that crashed %d engines were sent to engines later than %v after the fifth crash", arrived, len(b.crashes), contactTime)}}
}

// inTouch reports whether the process was neither started, stopped nor disturbed in the
// last contactTime.
func (p *process) inTouch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := time.Now().Add(-contactTime)
	return !p.paused && !p.disturbedAt.After(from) && !p.startedAt.After(from) && !p.terminatedAt.After(from)
}

// crash has the target crash: it stops listening, resets its connections, and starts again as
// another instance after repairTime.
func (t *target) crash() {
	t.mu.Lock()
	down := t.down
	t.down = true
	t.mu.Unlock()
	if down {
		return
	}
	t.stopListening()
	time.AfterFunc(repairTime, func() {
		if err := t.listenAgain(); err != nil {
			t.soak.recorder.addFinding("soak", "", "target could not listen again: %v", err)
			return
		}
		t.restart()
		t.mu.Lock()
		t.down = false
		t.mu.Unlock()
	})
}

// hasBadPart reports whether a prompt has the bad part.
func hasBadPart(parts []radishspoke.PromptPart) bool {
	for _, p := range parts {
		if p.ID == badPart {
			return true
		}
	}
	return false
}
