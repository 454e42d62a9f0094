//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Times of the case "stale-report".
const (
	startLimit  = 30 * time.Second
	reportLimit = 20 * time.Second

	beforeCut  = time.Second              // from a report to the cut
	beforeStop = 3 * time.Second          // from the next report to the planned stop
	cutLength  = 11500 * time.Millisecond // the longest cut of a machine on the sheet is 12 s
	restart    = 500 * time.Millisecond   // after the process has ended
	observed   = 12 * time.Second         // after the end of the cut
	thaw       = 300 * time.Millisecond   // ThawMs
)

// playStaleReport cuts the machine that reports usage off from the platform's API, and stops it
// as planned meanwhile. It checks that the API gets no call with a lower fence number than it
// has seen.
func playStaleReport(s *site, trouble bool) (bool, error) {
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
	entries, links, calls := map[string]*process{}, map[string]*link{}, &traffic{site: s}
	for n, zone := range []string{"zone-a", "zone-b", "zone-b"} { // one of three is cut off: the sheet has a share of 0.35
		name := fmt.Sprintf("front-%d", n+1)
		l, address, err := newLink(s, name+" to the platform's API", apiAddress)
		if err != nil {
			return false, err
		}
		p, err := s.start("entry", s.settings(name, zone, store, address))
		if err != nil {
			return false, err
		}
		entries[name], links[name] = p, l
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

	first, ok := api.await(startLimit, func(r report) bool { return r.holder != "" })
	if !ok {
		return false, errors.New("no usage report arrives")
	}
	holder, l := entries[first.holder], links[first.holder]
	if holder == nil {
		return false, fmt.Errorf("unknown holder %q", first.holder)
	}
	last, ok := api.await(reportLimit, func(r report) bool { return r.window > first.window })
	if !ok {
		return false, errors.New("no second usage report arrives")
	}
	time.Sleep(beforeCut)
	cutAt := s.since()
	if trouble {
		l.setCut(true)
	}
	next := last.at + s.bounds.UsageWindow + beforeStop
	time.Sleep(next - s.since())
	s.note("SIGTERM to %s", first.holder)
	holder.signal(syscall.SIGTERM)
	stopped := holder.ended
	go func() {
		<-stopped
		s.note("%s has ended", first.holder)
		time.Sleep(restart)
		p, err := s.start("entry", holder.settings)
		if err != nil {
			s.note("%s not started again: %v", first.holder, err)
			return
		}
		s.note("%s started again", first.holder)
		calls.run(p)
	}()
	time.Sleep(cutAt + cutLength - s.since())
	healedAt := s.since()
	if trouble {
		l.setCut(false)
	}
	time.Sleep(observed)
	return fenceFell(s, api.all(), healedAt), nil
}

// fenceFell reports whether a call had a lower fence number than one before it, or two holders
// had the same one. Calls that arrive within ThawMs after the link healed don't count.
func fenceFell(s *site, reports []report, healedAt time.Duration) bool {
	broken := false
	highest, holders := int64(0), map[int64]string{}
	for _, r := range reports {
		excused := r.at >= healedAt && r.at <= healedAt+thaw
		switch h, ok := holders[r.fence]; {
		case excused:
		case r.fence < highest:
			s.note("ONE: at %.3f s a call of %s with fence %d, after one with fence %d", r.at.Seconds(), r.holder, r.fence, highest)
			broken = true
		case ok && h != r.holder:
			s.note("ONE: at %.3f s a call of %s with fence %d, which %s had", r.at.Seconds(), r.holder, r.fence, h)
			broken = true
		}
		highest = max(highest, r.fence)
		holders[r.fence] = r.holder
	}
	return broken
}
