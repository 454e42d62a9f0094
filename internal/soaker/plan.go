package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"radishspoke/internal/fake"
)

// step is one fault of a plan, or its end.
type step struct {
	at   time.Duration
	what string
	do   func()
}

// plan draws the faults of a soak from its seed. They are over at the end.
func (s *Soak) plan(random *rand.Rand) []step {
	var out []step
	add := func(at time.Duration, do func(), format string, args ...any) {
		out = append(out, step{min(at, s.settings.Length), fmt.Sprintf(format, args...), do})
	}
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	all := append(append([]*host(nil), s.entries...), s.sidecars...)
	for at := s.settings.Quiet; at < s.settings.Length; at += between(100*time.Millisecond, 2*s.settings.Pause) {
		h, t := all[random.IntN(len(all))], s.targets[random.IntN(len(s.targets))]
		long, short := between(300*time.Millisecond, 4*time.Second), between(50*time.Millisecond, 1500*time.Millisecond)
		link := []Link{{Delay: 150 * time.Millisecond}, {There: true}, {Back: true}, {There: true, Back: true}, {Refuse: true}}[random.IntN(5)]
		resets := random.IntN(3) == 0 || link.Refuse
		key := s.keys[random.IntN(len(s.keys))]
		switch random.IntN(15) {
		case 0:
			add(at, func() { h.restart(syscall.SIGKILL, short) }, "kill %s, start it after %v", h.name, short)
		case 1, 11:
			add(at, func() { h.restart(syscall.SIGTERM, 0) }, "restart %s", h.name)
		case 2:
			add(at, func() { h.signal(syscall.SIGSTOP) }, "pause %s", h.name)
			add(at+long, func() { h.signal(syscall.SIGCONT) }, "resume %s", h.name)
		case 3:
			add(at, func() { h.signal(syscall.SIGHUP) }, "hang up %s", h.name)
		case 4:
			add(at, func() { h.store.set(link, resets) }, "way of %s to the store: %+v, resets %v", h.name, link, resets)
			add(at+long, func() { h.store.set(Link{}, false) }, "way of %s to the store: sound", h.name)
		case 5, 6:
			add(at, func() { t.set(link, resets) }, "way to %s: %+v, resets %v", t.address, link, resets)
			add(at+short, func() { t.set(Link{}, false) }, "way to %s: sound", t.address)
		case 7:
			add(at, func() { t.set(Link{}, true) }, "connections to %s reset", t.address)
		case 8:
			add(at, t.restart, "restart target %s", t.address)
		case 12, 13:
			add(at, func() { t.sicken(true) }, "target %s sick", t.address)
			add(at+short, func() { t.sicken(false) }, "target %s well", t.address)
		case 14:
			// Long enough for what the host knows of keys to run out.
			e := s.entries[random.IntN(len(s.entries))]
			add(at, func() { e.store.set(Link{Refuse: true}, true) }, "cut %s off the store", e.name)
			add(at+short/2, func() { s.withdraw(key, true) }, "withdraw key %s", key)
			add(at+revokeTime+2*long, func() { s.withdraw(key, false) }, "key %s is valid again", key)
			add(at+revokeTime+2*long, func() { e.store.set(Link{}, false) }, "way of %s to the store: sound", e.name)
		case 9:
			add(at, func() { s.withdraw(key, true) }, "withdraw key %s", key)
			add(at+long, func() { s.withdraw(key, false) }, "key %s is valid again", key)
		case 10:
			switch random.IntN(3) {
			case 0:
				add(at, func() { s.store.SetFaults(fake.RowFaults{Status: http.StatusServiceUnavailable}) }, "store away")
				add(at+long, func() { s.store.SetFaults(fake.RowFaults{}) }, "store back")
			case 1:
				add(at, func() { s.store.SetFaults(fake.RowFaults{LoseWrites: 5}) }, "store loses five answers")
			case 2:
				add(at, s.store.Compact, "store forgets its history")
			}
		}
	}
	return out
}

// restart ends a process and starts it again after a pause.
func (h *host) restart(by syscall.Signal, pause time.Duration) {
	h.mu.Lock()
	if h.asked {
		h.mu.Unlock()
		return // it is being restarted
	}
	h.mu.Unlock()
	h.signal(by)
	h.soak.tasks.Go(func() {
		h.wait()
		time.Sleep(pause)
		if err := h.start(); err != nil {
			h.soak.ledger.find("soak", "", "%v", err)
		}
	})
}
