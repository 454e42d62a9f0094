package soaker

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"radishspoke/internal/fake"
)

// event starts or ends a fault.
type event struct {
	at          time.Duration // since the start of the plan
	description string
	apply       func()
}

// plan draws the faults of a run. Events that would come after the end of the run
// are moved to its end, so that every fault that has a duration is over by then.
func (s *Soak) plan(random *rand.Rand) []event {
	var events []event
	add := func(at time.Duration, apply func(), format string, args ...any) {
		events = append(events, event{min(at, s.settings.Length), fmt.Sprintf(format, args...), apply})
	}
	// randomDuration draws a duration in [low, high).
	randomDuration := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	processes := append(append([]*process(nil), s.entries...), s.sidecars...)
	for at := s.settings.Quiet; at < s.settings.Length; at += randomDuration(100*time.Millisecond, 2*s.settings.Pause) {
		p, t := processes[random.IntN(len(processes))], s.targets[random.IntN(len(s.targets))]
		// Durations of long and of short faults.
		long, short := randomDuration(300*time.Millisecond, 4*time.Second), randomDuration(50*time.Millisecond, 1500*time.Millisecond)
		link := []linkState{{Delay: 150 * time.Millisecond}, {StallUpstream: true}, {StallDownstream: true}, {StallUpstream: true, StallDownstream: true}, {Refuse: true}}[random.IntN(5)]
		resets := random.IntN(3) == 0 || link.Refuse
		key := s.keys[random.IntN(len(s.keys))]
		switch random.IntN(15) {
		case 0:
			add(at, func() { p.restart(syscall.SIGKILL, short) }, "kill %s, start it after %v", p.name, short)
		case 1, 11:
			add(at, func() { p.restart(syscall.SIGTERM, 0) }, "restart %s", p.name)
		case 2:
			add(at, func() { p.signal(syscall.SIGSTOP) }, "pause %s", p.name)
			add(at+long, func() { p.signal(syscall.SIGCONT) }, "resume %s", p.name)
		case 3:
			add(at, func() { p.signal(syscall.SIGHUP) }, "send SIGHUP to %s", p.name)
		case 4:
			add(at, func() { p.store.setLink(link, resets) }, "link of %s to the store: %+v, resets %v", p.name, link, resets)
			add(at+long, func() { p.store.setLink(linkState{}, false) }, "link of %s to the store: restored", p.name)
		case 5, 6:
			add(at, func() { t.setLink(link, resets) }, "link to %s: %+v, resets %v", t.address, link, resets)
			add(at+short, func() { t.setLink(linkState{}, false) }, "link to %s: restored", t.address)
		case 7:
			add(at, func() { t.setLink(linkState{}, true) }, "reset connections to %s", t.address)
		case 8:
			add(at, t.restart, "restart target %s", t.address)
		case 12, 13:
			add(at, func() { t.setFaulty(true) }, "target %s: faulty responses", t.address)
			add(at+short, func() { t.setFaulty(false) }, "target %s: correct responses", t.address)
		case 14:
			// The entry is disconnected for longer than the revocation
			// time, so that its copy of the keys expires before it can
			// read the new configuration.
			e := s.entries[random.IntN(len(s.entries))]
			add(at, func() { e.store.setLink(linkState{Refuse: true}, true) }, "disconnect %s from the store", e.name)
			add(at+short/2, func() { s.setWithdrawn(key, true) }, "withdraw key %s", key)
			add(at+revokeTime+2*long, func() { s.setWithdrawn(key, false) }, "key %s is valid again", key)
			add(at+revokeTime+2*long, func() { e.store.setLink(linkState{}, false) }, "link of %s to the store: restored", e.name)
		case 9:
			add(at, func() { s.setWithdrawn(key, true) }, "withdraw key %s", key)
			add(at+long, func() { s.setWithdrawn(key, false) }, "key %s is valid again", key)
		case 10:
			switch random.IntN(3) {
			case 0:
				add(at, func() { s.setStoreDown(true) }, "store unavailable")
				add(at+long, func() { s.setStoreDown(false) }, "store available")
			case 1:
				add(at, func() { s.store.SetFaults(fake.RowStoreFaults{LoseResponses: 5}) }, "store drops the responses to 5 writes")
			case 2:
				add(at, s.store.Compact, "store compacts its history")
			}
		}
	}
	// The draws of the other faults of a seed must not depend on these.
	others := rand.New(rand.NewPCG(s.settings.Seed, 4))
	// Early, as only what comes later than contactTime counts.
	early := func() time.Duration {
		return s.settings.Quiet + time.Duration(others.Int64N(int64(s.settings.Length/8)))
	}
	limited := s.targets[others.IntN(len(s.targets))]
	add(early(), func() { s.limit.begin(limited, others) }, "target %s states a limit", limited.address)
	add(s.settings.Length, s.limit.end, "target %s states no limit any more", limited.address)
	add(early(), func() { s.badRequest.setActive(true) }, "a caller repeats a request that crashes targets")
	add(s.settings.Length, func() { s.badRequest.setActive(false) }, "the caller stops that")
	s.planRelease(rand.New(rand.NewPCG(s.settings.Seed, 5)), add)
	s.planSilences(rand.New(rand.NewPCG(s.settings.Seed, 6)), add)
	s.planTurnedAway(rand.New(rand.NewPCG(s.settings.Seed, 7)), add)
	s.planDrills(rand.New(rand.NewPCG(s.settings.Seed, 8)), add)
	s.planEvacuation(rand.New(rand.NewPCG(s.settings.Seed, 9)), add)
	s.planHandOvers(rand.New(rand.NewPCG(s.settings.Seed, 10)), add)
	begin := s.settings.Quiet + time.Duration(rand.New(rand.NewPCG(s.settings.Seed, 3)).Int64N(int64(s.settings.Length/2)))
	add(begin, func() { s.badPart.setActive(true) }, "callers send a part that crashes engines")
	add(s.settings.Length, func() { s.badPart.setActive(false) }, "callers send no such part any more")
	return events
}
