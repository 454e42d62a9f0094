//go:build review

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishspoke/platform"
)

// Times of the case "turns".
const (
	startGap   = 250 * time.Millisecond  // machines start within 0.3 s of each other
	stopGap    = 1800 * time.Millisecond // between two planned stops; the sheet has 1.0 to 2.0 s
	restartGap = 500 * time.Millisecond  // from the end of a process to its next start
	rounds     = 3
	roundTail  = 7 * time.Second // from the restart to the end of a round
	clearTime  = 12 * time.Second
)

// leaseClock follows the renewals of the usage lease in the store.
type leaseClock struct {
	client  *platform.Client
	version int64
	changed time.Duration // time of the last change, since the start of the site
}

// await waits for the next renewal and returns its time.
func (c *leaseClock) await(s *site, limit time.Duration) (time.Duration, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		rows, err := c.client.Get(context.Background(), "radishspoke", "lease/usage", "lease/usage\x00")
		if err != nil || len(rows.Rows) == 0 || rows.Rows[0].Version == c.version {
			continue
		}
		first := c.version == 0
		c.version, c.changed = rows.Rows[0].Version, s.since()
		if !first {
			return c.changed, true
		}
	}
	return 0, false
}

// playTurns stops and starts the two machines that may report usage, one after the other. It
// checks that they do not act in the order A, B, A within LeaseMs.
func playTurns(s *site, trouble bool) (bool, error) {
	api := &duties{site: s}
	store, err := s.serve(s.store)
	if err != nil {
		return false, err
	}
	apiAddress, err := s.serve(api)
	if err != nil {
		return false, err
	}
	if err := s.configure(); err != nil {
		return false, err
	}
	for n, zone := range []string{"zone-a", "zone-b"} {
		if err := s.addTarget(fmt.Sprintf("i-%d", n+1), zone); err != nil {
			return false, err
		}
	}
	entries, calls := map[string]*process{}, &traffic{site: s}
	for n, zone := range []string{"zone-a", "zone-b"} {
		name := fmt.Sprintf("front-%d", n+1)
		p, err := s.start("entry", s.settings(name, zone, store, apiAddress))
		if err != nil {
			return false, err
		}
		entries[name] = p
		time.Sleep(startGap)
	}
	for _, p := range entries {
		if err := p.awaitReady(startLimit); err != nil {
			return false, err
		}
		go calls.run(p)
	}
	defer func() {
		s.note("callers: %d requests sent, %d answered with 200", calls.sent.Load(), calls.answered.Load())
	}()
	clock := &leaseClock{client: platform.New(platform.Settings{Store: store}, &tcp{}, steady{})}
	for range rounds {
		if err := s.playRound(api, entries, calls, clock, trouble); err != nil {
			return false, err
		}
		if tookTurns(s, api.all()) {
			return true, nil
		}
		time.Sleep(clearTime - roundTail)
	}
	return false, nil
}

// playRound stops the machine that reports usage, soon after it has renewed its lease and
// before it reports, and the other one stopGap later. Both are started again.
func (s *site) playRound(api *duties, entries map[string]*process, calls *traffic, clock *leaseClock, trouble bool) error {
	known := len(api.all())
	last, ok := api.await(startLimit, func(r report) bool { return len(api.all()) > known && r.at >= api.all()[known].at })
	if !ok {
		return errors.New("no usage report arrives")
	}
	stop, err := s.chooseMoment(last, clock)
	if err != nil {
		return err
	}
	time.Sleep(stop - s.since())
	if !trouble {
		time.Sleep(roundTail)
		return nil
	}
	s.mu.Lock()
	a := entries[last.holder]
	s.mu.Unlock()
	s.note("SIGTERM to %s", last.holder)
	a.signal(syscall.SIGTERM)
	go s.restart(entries, a, calls)
	time.Sleep(stopGap)
	for name, b := range s.others(entries, last.holder) {
		s.note("SIGTERM to %s", name)
		b.signal(syscall.SIGTERM)
		go s.restart(entries, b, calls)
	}
	time.Sleep(roundTail)
	return nil
}

// others returns the machines but one.
func (s *site) others(entries map[string]*process, but string) map[string]*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]*process{}
	for name, p := range entries {
		if name != but {
			out[name] = p
		}
	}
	return out
}

// renewal is the time between two renewals of the lease: a third of LeaseMs and a second.
const renewal = 4 * time.Second / 3

// chooseMoment returns the time, just after a renewal of the lease, at which the holder is
// stopped: its next report is due in the second half of the time until the next renewal.
func (s *site) chooseMoment(last report, clock *leaseClock) (time.Duration, error) {
	if _, ok := clock.await(s, 5*time.Second); !ok {
		return 0, errors.New("the lease is not renewed")
	}
	renewed, ok := clock.await(s, 5*time.Second)
	if !ok {
		return 0, errors.New("the lease is not renewed")
	}
	for due := last.at + s.bounds.UsageWindow; due < last.at+6*s.bounds.UsageWindow; due += s.bounds.UsageWindow {
		before := renewed
		for before+renewal < due {
			before += renewal
		}
		phase := due - before
		if phase >= 930*time.Millisecond && phase <= renewal-60*time.Millisecond && before > s.since()+renewal {
			s.note("report due at %.3f s, renewals at %.3f s and %.3f s", due.Seconds(), before.Seconds(), (before + renewal).Seconds())
			return before + 40*time.Millisecond, nil
		}
	}
	return 0, errors.New("no report is due at a suitable time")
}

// restart starts a machine again after its process has ended.
func (s *site) restart(entries map[string]*process, old *process, calls *traffic) {
	<-old.ended
	s.note("%s has ended", old.settings.Name)
	time.Sleep(restartGap)
	o := old.settings
	o.First = false
	p, err := s.start("entry", o)
	if err != nil {
		s.note("%s not started again: %v", o.Name, err)
		return
	}
	s.mu.Lock()
	entries[o.Name] = p
	s.mu.Unlock()
	s.note("%s started again", o.Name)
	calls.run(p)
}

// tookTurns reports whether holders acted in the order A, B, A within LeaseMs.
func tookTurns(s *site, reports []report) bool {
	for i, last := range reports {
		for j := i - 1; j >= 0; j-- {
			b := reports[j]
			if b.holder == last.holder {
				continue
			}
			for k := j - 1; k >= 0; k-- {
				if a := reports[k]; a.holder == last.holder {
					if gap := last.at - a.at; gap < s.bounds.Lease {
						s.note("ONE: %s acts at %.3f s, %s at %.3f s and %s again at %.3f s, %v after the first", a.holder, a.at.Seconds(), b.holder, b.at.Seconds(), last.holder, last.at.Seconds(), gap.Round(time.Millisecond))
						return true
					}
					break
				}
			}
			break
		}
	}
	return false
}
