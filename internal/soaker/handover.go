package soaker

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	handOvers  = 3                         // series of restarts, and cuts of the way to the duties, in a run
	maxSeries  = 4                         // restarts of the candidates for a lease, one after the other
	minCutTime = usageWindow + time.Second // long enough for a report to fall into it
	maxCutTime = 11 * time.Second

	// thawTime is the time after the end of a pause or of a fault of a link in which calls of
	// that process don't count.
	thawTime = 300 * time.Millisecond
)

// planHandOvers adds the events of series of restarts of the candidates for a lease, and of cuts
// of the way from the process that reports usage to the platform. What it has sent arrives
// with the first repetition of TCP after the cut. The series and the cuts overlap, and in each
// cut the process is stopped, killed or paused.
func (s *Soak) planHandOvers(random *rand.Rand, add func(at time.Duration, apply func(), format string, args ...any)) {
	draw := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	for range handOvers {
		at := s.settings.Quiet + draw(0, s.settings.Length*2/3)
		for i := range 2 + random.IntN(maxSeries-1) {
			p := s.entries[i%min(2, len(s.entries))] // the candidates, as for drills
			how := []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}[random.IntN(3)]
			add(at, func() { p.restart(how, 0) }, "restart %s with signal %v, in turn", p.name, how)
			at += draw(1300*time.Millisecond, 2*time.Second)
		}
		at = s.settings.Quiet + draw(0, s.settings.Length*2/3)
		length, until := draw(minCutTime, maxCutTime), draw(3*time.Second, minCutTime)
		what := random.IntN(4)
		var p *process
		add(at, func() {
			p = s.usageReporter()
			p.duties.setLink(linkState{StallUpstream: true, Repeat: true}, false)
		}, "way of the process that reports usage to the duties is cut")
		add(at+until, func() {
			switch what {
			case 0, 1:
				p.restart(syscall.SIGTERM, 0)
			case 2:
				p.restart(syscall.SIGKILL, 0)
			case 3:
				p.signal(syscall.SIGSTOP)
			}
		}, "it is %s", []string{"stopped", "stopped", "killed", "paused"}[what])
		if resume := at + until + draw(0, 4*time.Second); what == 3 {
			add(resume, func() { p.signal(syscall.SIGCONT) }, "it runs")
		}
		add(at+length, func() { p.duties.setLink(linkState{}, false) }, "the way is restored")
	}
}

// usageReporter returns the entry that reported usage last, or the first one.
func (s *Soak) usageReporter() *process {
	usage := s.store.Usage()
	for i := len(usage) - 1; i >= 0; i-- {
		for _, p := range s.entries {
			if p.name == usage[i].Holder {
				return p
			}
		}
	}
	return s.entries[0]
}

// checkTurns checks that the fences of usage reports don't fall, and that no two holders report in
// the order A, B, A within the time of a lease. Reports within thawTime after a pause of their
// sender, or after a fault of its link, don't count.
func (s *Soak) checkTurns() {
	highest := int64(0)
	at := map[string]time.Time{} // of the last report, by holder
	last := ""
	for _, u := range s.store.TimedUsage() {
		if s.excused(u.Holder, u.At) {
			continue
		}
		if u.Epoch < highest {
			s.recorder.addFinding("one", "", "usage of window %d was reported by %s with fence %d after fence %d", u.Window, u.Holder, u.Epoch, highest)
		}
		if before, ok := at[u.Holder]; ok && last != u.Holder && u.At.Sub(before) < leaseTime {
			s.recorder.addFinding("one", "", "usage of window %d was reported by %s after %s, and %v after its last report", u.Window, u.Holder, last, u.At.Sub(before))
		}
		highest, at[u.Holder], last = max(highest, u.Epoch), u.At, u.Holder
	}
}

// excused returns whether a report of a process at the given time doesn't count.
func (s *Soak) excused(holder string, at time.Time) bool {
	for _, p := range s.entries {
		if p.name == holder {
			return p.thawedBefore(at)
		}
	}
	return false
}

// thawedBefore returns whether a pause of the process, or a fault of a link to the platform, ended
// within thawTime before the given time.
func (p *process) thawedBefore(at time.Time) bool {
	p.mu.Lock()
	times := slices.Clone(p.resumptions)
	p.mu.Unlock()
	for _, l := range []*proxy{p.duties, p.store} {
		l.mu.Lock()
		times = append(times, l.healedAt...)
		l.mu.Unlock()
	}
	return slices.ContainsFunc(times, func(t time.Time) bool { return !at.Before(t) && at.Sub(t) <= thawTime })
}
