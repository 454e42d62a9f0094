package soaker

import (
	"math/rand/v2"
	"syscall"
	"time"

	"radishspoke/internal/fake"
)

const (
	drills      = 2               // in a run
	maxCopyAge  = 6 * time.Second // of the copy from which the store comes back
	maxAwayTime = 1500 * time.Millisecond
)

// planDrills adds the events of drills, in which the store is away and comes back from an older
// copy. An entry restarts between the copy and the drill, so that a lease may change hands.
func (s *Soak) planDrills(random *rand.Rand, add func(at time.Duration, apply func(), format string, args ...any)) {
	draw := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	for range drills {
		at := s.settings.Quiet + draw(s.settings.Length*2/3)
		age, away := draw(maxCopyAge), draw(maxAwayTime)
		// The entry with the least name and its successor are the candidates for leases.
		p := s.entries[random.IntN(min(2, len(s.entries)))]
		var b fake.Backup
		add(at, func() { b = s.store.Backup() }, "store is copied")
		add(at+draw(age+1), func() { p.restart(syscall.SIGTERM, 0) }, "restart %s", p.name)
		add(at+age, func() { s.setStoreDown(true) }, "store unavailable")
		add(at+age+away, func() {
			s.store.Restore(b)
			s.setStoreDown(false)
		}, "store available, from a copy %v old", age+away)
	}
}

// checkFences checks that no two holders have reported usage with one fencing token.
func (s *Soak) checkFences() {
	holders := map[int64]string{}
	for _, u := range s.store.Usage() {
		if first, ok := holders[u.Epoch]; ok && first != u.Holder {
			s.recorder.addFinding("one", "", "usage was reported with fence %d by %s and by %s", u.Epoch, first, u.Holder)
		}
		holders[u.Epoch] = u.Holder
	}
}
