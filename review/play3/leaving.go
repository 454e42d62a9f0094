//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"radishspoke/review/player"
)

// Parameters of the case leaving.
const (
	entries   = 2
	linkSpeed = 10 // of the entries, in 10⁶ bits per second

	prefillEngines = 21
	decodeEngines  = 11
	leavers        = 4       // of the decode engines
	readRate       = 150_000 // prompt tokens that an engine reads in a second

	drainTime = 2 * time.Second        // DrainMs
	extraTime = 900 * time.Millisecond // for which a draining engine serves beyond that

	usualRate  = 50               // requests per second
	hotRate    = 7.5 * usualRate  // while the tenant is hot
	hotAt      = 6 * time.Second  // after the first request
	drainAt    = 8 * time.Second  // of the same
	hotEnd     = 8 * time.Second  // of the same
	trafficEnd = 12 * time.Second // of the same
	readyLimit = 20 * time.Second
)

// fleet starts entries, and engines of both phases with their sidecars. The engines that
// generate answers are the last ones.
func fleet(d *player.Deployment) ([]*player.Engine, error) {
	if err := d.PutConfiguration(7, player.Route{Timeout: 15 * time.Second, Objective: time.Second}); err != nil {
		return nil, err
	}
	var engines []*player.Engine
	for n := range prefillEngines + decodeEngines {
		phase := "prefill"
		if n >= prefillEngines {
			phase = "decode"
		}
		e, err := d.StartEngine(player.EngineSettings{Number: n, Phase: phase, Rate: readRate, Events: 20, Interval: 40 * time.Millisecond})
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
		if _, err := d.StartSidecar(n); err != nil {
			return nil, err
		}
	}
	for n := range entries {
		if _, err := d.StartEntry(n, linkSpeed); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	for n := range entries {
		if err := d.AwaitReady(ctx, n); err != nil {
			return nil, err
		}
	}
	return engines, nil
}

// traffic sends requests at the usual rate, for a time at that of a hot tenant, and returns all
// answers.
func traffic(d *player.Deployment) []player.Answer {
	var group sync.WaitGroup
	var mu sync.Mutex
	var out []player.Answer
	began := time.Now()
	for n := 0; time.Since(began) < trafficEnd; n++ {
		group.Go(func() {
			a := d.Send(player.Request{
				ID: fmt.Sprintf("%016x", n+1), Entry: n % entries, Prompt: 3000 + n*7919%36000, Output: 400, Body: 9200, Deadline: 15 * time.Second, Patience: 4 * time.Second,
			})
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		rate := float64(usualRate)
		if at := time.Since(began); at > hotAt && at < hotEnd {
			rate = hotRate
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	group.Wait()
	return out
}

// leaving has engines that generate answers leave, while requests to them wait at the sidecars of
// other engines for their prompts to be read.
func leaving(d *player.Deployment, trouble bool) (bool, error) {
	engines, err := fleet(d)
	if err != nil {
		return false, err
	}
	gone := engines[len(engines)-leavers:]
	acknowledged := make([]time.Duration, leavers)
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(drainAt)
		if !trouble {
			return
		}
		for n, e := range gone {
			e.Drain()
			acknowledged[n] = d.Record.Now()
		}
		time.Sleep(drainTime + extraTime)
		for _, e := range gone {
			e.Exit()
		}
	}()
	answers := traffic(d)
	<-left
	late, cut, latest := 0, 0, time.Duration(0)
	for n, e := range gone {
		for _, a := range e.Arrivals() {
			if after := a.At - acknowledged[n]; trouble && after > drainTime {
				late++
				latest = max(latest, after)
				if a.Cut {
					cut++
				}
			}
		}
	}
	served, broken := 0, 0
	for _, a := range answers {
		switch {
		case a.Status == 200 && a.Whole:
			served++
		case a.Status == 200 && !a.Left:
			broken++
		}
	}
	d.Record.Printf("result: %d of %d requests served, %d streams broken off", served, len(answers), broken)
	d.Record.Printf("result: %d requests reached a leaving engine later than %v after the ack, the last %v after it; the engines ended while they worked on %d of these",
		late, drainTime, latest.Round(time.Millisecond), cut)
	if served < len(answers)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return late == 0, nil
}
