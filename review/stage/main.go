//go:build review

// Command stage plays the cases of the second review that are scripts. It starts
// entries and sidecars as processes, with stand-ins for the platform, targets and
// callers, and checks one rule by what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule was kept
	exitBroken = 1
	exitFailed = 2 // the case could not be played
)

// cases are the functions that play a case, by name. Each returns whether the rule was
// broken.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"stale-report": playStaleReport,
	"turns":        playTurns,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names, and writes its record to the file that
// the second one names. TROUBLE=0 in the environment leaves the disruption out.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return exitFailed
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxTime):
		}
		s.note("the case was stopped")
		s.close()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("case %s, disruption %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		s.note("not played: %v", err)
		return exitFailed
	case broken:
		s.note("rule broken")
		return exitBroken
	}
	s.note("rule kept")
	return exitHeld
}

// maxTime bounds the time of a case.
const maxTime = 100 * time.Second
