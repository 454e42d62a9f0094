package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"radishspoke"
)

const (
	badPartRate  = 0.1       // share of the long prompts with the bad part, while there is one
	badPart      = "bad"     // ID of the part
	badRate      = 0.1       // share of the reads that are the bad request, while there is one
	badPrefix    = "/stock/" // of the route of the bad request
	badPath      = badPrefix + "bad"
	badKey       = "t1-k1"         // of the caller of the bad request
	badBody      = "bad"           // of the bad request
	repairTime   = time.Second     // time for which a target that has crashed is down
	contactTime  = 3 * time.Second // time after which an undisturbed entry must know of a crash or a limit
	allowedAfter = 3               // requests that may still reach targets
)

// crashCheck records what happens to requests that crash targets.
type crashCheck struct {
	what    string // all these requests have in common
	allowed int    // number of crashes after which entries must know
	rate    float64

	mu      sync.Mutex
	active  bool
	crashes []time.Time
	sent    map[string]*badRequest // by request ID
}

// badRequest is a request that crashes targets.
type badRequest struct {
	sent     time.Time
	entry    *process
	arrivals int // at engines, while the entry was in touch
}

// setActive sets whether callers send such requests.
func (b *crashCheck) setActive(active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = active
}

// draw reports whether a request that may be such a one is one.
func (b *crashCheck) draw(random *rand.Rand) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active && random.Float64() < b.rate
}

// recordSent records that a caller sends such a request.
func (b *crashCheck) recordSent(id string, entry *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sent == nil {
		b.sent = map[string]*badRequest{}
	}
	b.sent[id] = &badRequest{sent: time.Now(), entry: entry}
}

// recordArrival records that such a request has reached a target, and whether it crashes
// the target.
func (b *crashCheck) recordArrival(id string, crashes bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.sent[id]; ok && r.entry.inTouch() {
		r.arrivals++
	}
	if crashes {
		b.crashes = append(b.crashes, time.Now())
	}
}

// evaluate returns a finding if too many such requests have reached targets that were sent
// later than contactTime after the last allowed crash.
func (b *crashCheck) evaluate() []Finding {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crashes) < b.allowed {
		return nil
	}
	arrived := 0
	for _, r := range b.sent {
		if r.sent.After(b.crashes[b.allowed-1].Add(contactTime)) {
			arrived += r.arrivals
		}
	}
	if arrived <= allowedAfter {
		return nil
	}
	return []Finding{{"crash", "", fmt.Sprintf("%d requests with a %s that crashed %d targets were sent to targets later than %v after crash %d", arrived, b.what, len(b.crashes), contactTime, b.allowed)}}
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
