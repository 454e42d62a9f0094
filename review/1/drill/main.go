//go:build review

// Command drill plays a drill of the platform's store, from which it comes back from a copy
// that is some seconds old, after a planned restart of the entry that reports usage.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"syscall"
	"time"

	"radishspoke/review/harness"
)

const (
	away         = time.Second            // time for which the store is away
	restartDelay = 300 * time.Millisecond // of a process that has ended
	window       = 5 * time.Second
	sendInterval = 50 * time.Millisecond
)

func main() {
	broken, err := play(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// play plays the case and reports whether the rule was broken.
func play(path string, trouble bool) (bool, error) {
	r, err := harness.NewRecord(path)
	if err != nil {
		return false, err
	}
	d, err := harness.NewDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.Close()
	d.Store.Put("op", "config", harness.Manifest(7,
		[]map[string]any{harness.Route("r-1", "/puxa403/", "safe", "app", 2)}, []map[string]any{harness.PlainService("app")}))
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := harness.StartWorker(d.Store, r, id, "app", "a", nil); err != nil {
			return false, err
		}
	}
	processes := map[string]*harness.Process{}
	for _, name := range []string{"front-a-1", "front-b-1"} {
		h, err := d.AddFront(name, name[6:7], 0)
		if err != nil {
			return false, err
		}
		if processes[name], err = h.Start(); err != nil {
			return false, err
		}
	}
	for _, p := range processes {
		if err := p.Host.AwaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, p := range processes {
		go send(ctx, r, p.Host)
	}

	// Two reports show which entry holds the duty.
	first, ok := await(d.Cloud, 40*time.Second, func(l []harness.Usage) bool { return len(l) >= 2 })
	if !ok {
		return false, fmt.Errorf("no usage is reported")
	}
	holder := first[len(first)-1].Holder
	// A window ends just before the stop, so that its counts are added up during it.
	now := time.Now()
	time.Sleep(now.Truncate(window).Add(window + 500*time.Millisecond).Sub(now))
	stopped := time.Now()
	old := processes[holder]
	old.Signal(syscall.SIGTERM)
	if !old.Wait(9 * time.Second) {
		return false, fmt.Errorf("%s does not end", holder)
	}
	time.Sleep(restartDelay)
	if processes[holder], err = old.Host.Start(); err != nil {
		return false, err
	}
	next, ok := await(d.Cloud, 5*time.Second, func(l []harness.Usage) bool { return l[len(l)-1].Holder != holder })
	if !ok {
		return false, fmt.Errorf("the duty is not handed over")
	}
	r.Printf("the duty has gone from %s to %s", holder, next[len(next)-1].Holder)
	if err := old.Host.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	if trouble {
		r.Printf("store: away")
		d.Store.SetAway(true)
		time.Sleep(away)
		d.Store.Restore(time.Since(stopped) + 200*time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	cancel()
	return check(r, d.Cloud.Reports()), nil
}

// send sends requests to an entry until ctx ends.
func send(ctx context.Context, r *harness.Record, h *harness.Host) {
	counts := map[int]int{}
	for ctx.Err() == nil {
		if !h.IsReady() { // the platform sends no consumers there
			time.Sleep(sendInterval)
			continue
		}
		for range 10 {
			counts[harness.Send(ctx, r, h, "GET", "/puxa403/2f")]++
			time.Sleep(sendInterval)
		}
	}
	r.Printf("consumers of %s: answers by status %v", h.Name, counts)
}

// await waits until the reports fulfil a condition.
func await(c *harness.Cloud, limit time.Duration, fulfilled func([]harness.Usage) bool) ([]harness.Usage, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if l := c.Reports(); len(l) > 0 && fulfilled(l) {
			return l, true
		}
	}
	return nil, false
}

// check reports whether ONE was broken: one fence number of two holders, or two reports for one
// window with different counts.
func check(r *harness.Record, list []harness.Usage) bool {
	broken := false
	holders := map[int64]string{}
	counts := map[int64]harness.Usage{}
	for _, u := range list {
		if h, ok := holders[u.Fence]; ok && h != u.Holder {
			r.Printf("ONE is broken: fence %d was sent by %s and by %s", u.Fence, h, u.Holder)
			broken = true
		}
		holders[u.Fence] = u.Holder
		if o, ok := counts[u.Window]; ok && !maps.Equal(o.Counts, u.Counts) {
			r.Printf("ONE is broken: window %d was reported with %v by %s and with %v by %s", u.Window, o.Counts, o.Holder, u.Counts, u.Holder)
			broken = true
		}
		counts[u.Window] = u
	}
	if !broken {
		r.Printf("ONE was kept in %d reports", len(list))
	}
	return broken
}
