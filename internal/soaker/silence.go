package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"radishspoke/platform"
)

// silence lets a target fall silent and go on later. The zero value is not silent.
type silence struct {
	halted atomic.Int64 // answers of which the second half had to wait

	mu     sync.Mutex
	over   chan struct{} // closed at the end; nil if the target is not silent
	unread bool          // requests are not read either

	// waiting has the IDs of the unread requests for an answer, also after their
	// connections have been closed.
	waiting map[string]bool
}

// begin has answers stop after their first half, until end is called.
func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = make(chan struct{})
}

// stopReading has a silent target read no requests, until end is called.
func (s *silence) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread = true
}

// end has the target go on.
func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.over)
	s.over, s.unread, s.waiting = nil, false, nil
}

// await returns when the target reads the request. It returns how long that took.
func (s *silence) await(header http.Header) time.Duration {
	s.mu.Lock()
	unread, over := s.unread, s.over
	if unread {
		s.add(header)
	}
	s.mu.Unlock()
	if !unread {
		return 0
	}
	began := time.Now()
	<-over
	return time.Since(began)
}

// add adds a request to those that wait, unless it asks for no answer. s.mu must be held.
func (s *silence) add(header http.Header) {
	h, err := platform.DecodeReceivedHeader(header)
	if err != nil || h.ID == "" || h.PrefillOnly {
		return
	}
	if s.waiting == nil {
		s.waiting = map[string]bool{}
	}
	s.waiting[h.ID] = true
}

// waits reports whether a request for an answer is unread.
func (s *silence) waits(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[id]
}

// hold returns when an answer may go on after its first half.
func (s *silence) hold() {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	if over != nil {
		s.halted.Add(1)
		<-over
	}
}

const (
	// A target falls silent for a time between minSilence and maxSilence.
	minSilence = 500 * time.Millisecond
	maxSilence = 1500 * time.Millisecond

	// approachTime is the first part of a silence, in which requests are still read and only
	// answers stop, so that the silence meets answers that have begun.
	approachTime = 250 * time.Millisecond

	maxSilencePause = time.Second // longest time between two silences of the same kind of targets

	// A key that is withdrawn beside a silence is added again after a time between minWithdrawal
	// and maxWithdrawal.
	minWithdrawal = 200 * time.Millisecond
	maxWithdrawal = 1500 * time.Millisecond
)

// planSilences adds the events at which targets fall silent and go on: one after the other of the
// engines that begin as decode engines, and one plain target after the other. In some of the
// silences, the configuration changes or an entry is stopped and started again. In half of them, a
// key is withdrawn, and added again before or after the end of the silence. Silences of
// engines and of plain targets overlap, and so do these withdrawals.
func (s *Soak) planSilences(random *rand.Rand, add func(at time.Duration, apply func(), format string, args ...any)) {
	randomDuration := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	// The draws of the other events of a seed must not depend on the keys.
	withdrawals := rand.New(rand.NewPCG(s.settings.Seed, 8))
	engines := min(s.settings.Engines, len(s.targets))
	// The others begin as prefill engines, which send no answers to callers.
	for _, targets := range [][]*target{s.targets[(engines+1)/2 : engines], s.targets[engines:]} {
		for at := s.settings.Quiet; len(targets) > 0; {
			at += randomDuration(0, maxSilencePause)
			t, long := targets[random.IntN(len(targets))], randomDuration(minSilence, maxSilence)
			beside, other := at+randomDuration(0, long), random.IntN(3)
			e := s.entries[random.IntN(len(s.entries))]
			if at+long > s.settings.Length {
				break
			}
			add(at, t.silence.begin, "target %s falls silent for %v", t.address, long)
			add(at+approachTime, t.silence.stopReading, "target %s reads no requests", t.address)
			switch other {
			case 0:
				add(beside, s.publishConfiguration, "the configuration changes")
			case 1:
				add(beside, func() { e.restart(syscall.SIGTERM, 0) }, "restart %s", e.name)
			}
			if withdrawals.IntN(2) == 0 {
				s.planWithdrawal(withdrawals, at, long, add)
			}
			at += long
			add(at, t.silence.end, "target %s goes on", t.address)
		}
	}
}

// planWithdrawal adds the events of the withdrawal of a key beside a silence of the given length
// that begins at the given time.
func (s *Soak) planWithdrawal(random *rand.Rand, at, long time.Duration, add func(at time.Duration, apply func(), format string, args ...any)) {
	key := s.briefKeys[random.IntN(len(s.briefKeys))]
	at += time.Duration(random.Int64N(int64(long)))
	add(at, func() { s.setWithdrawn(key, true) }, "withdraw key %s beside the silence", key)
	at += minWithdrawal + time.Duration(random.Int64N(int64(maxWithdrawal-minWithdrawal)))
	add(at, func() { s.setWithdrawn(key, false) }, "key %s is valid again", key)
}

// current returns the ID of the current instance.
func (t *target) current() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance
}

// soundSince reports whether neither the target nor the link to it has had a fault other than
// silence after a time.
func (t *target) soundSince(since time.Time) bool {
	t.proxy.mu.Lock()
	linked := t.link == (linkState{}) && t.proxy.faultyAt.Before(since) && t.resetAt.Before(since)
	t.proxy.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return linked && !t.down && !t.faulty && t.faultyAt.Before(since)
}

// checkCut adds a finding of the check cut if a request that was sent at the time began failed
// before the end of its time budget, while a target that has got it was sound: its answer was
// broken off with err, or the entry reports a failure. A sidecar that was killed or paused may have
// broken off an answer that it relayed.
func (c *caller) checkCut(k requestKind, q requestRecord, entry *process, began time.Time, budget time.Duration, err error) {
	elapsed := time.Since(began)
	failed := q.fromEntry && q.status >= http.StatusInternalServerError && !notRunStatuses[q.status]
	if err != nil {
		failed = q.status == http.StatusOK
	}
	if !failed || elapsed >= budget || entry.disturbedSince(began) {
		return
	}
	for _, p := range c.soak.sidecars {
		if k.longPrompt && p.disturbedSince(began) {
			return
		}
	}
	for _, t := range c.soak.targets {
		if c.soak.recorder.ranAt(q.id, t.current()) || t.silence.waits(q.id) {
			if t.soundSince(began) {
				key := ""
				if after, ok := c.soak.recorder.withdrawnAfter(q.key, began); ok {
					key = fmt.Sprintf(" and its key was withdrawn after %v", after)
				}
				c.soak.recorder.addFinding("cut", q.id, "entry %s ended the answer with status %d after %v of %v, though target %s is sound%s: %v", entry.name, q.status, elapsed, budget, t.current(), key, err)
				return
			}
		}
	}
}
