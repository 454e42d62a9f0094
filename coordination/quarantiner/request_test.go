package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/quarantiner"
)

const service = "desk"

// whole returns a request to a plain service.
func whole(fingerprint string) quarantiner.Subject {
	return quarantiner.Subject{Group: service, Request: fingerprint}
}

// crashOn has a target crash that runs the given requests, each sent running ago by the
// process.
func (f *fleet) crashOn(process int, running time.Duration, requests ...string) {
	f.engines++
	target := radishspoke.Instance{ID: fmt.Sprintf("d%d", f.engines), Group: service}
	for _, id := range requests {
		f.processes[process].Broken(target, whole(id), f.clock.At-running)
	}
	f.processes[process].Crashed(target)
}

func (f *fleet) refusesRequest(process int, id string) bool {
	return !f.processes[process].Admit(whole(id)).Admitted
}

// Guards against copies of one request that crash targets at several processes at once, and
// before the service has completed anything.
func TestCopiesAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	for k := range 3 {
		f.crashOn(k, 500*time.Millisecond, "bad", fmt.Sprint("sound", k))
		f.clock.At += 30 * time.Millisecond
	}
	f.exchange(time.Millisecond)
	for k := range 3 {
		c.Assert(f.refusesRequest(k, "bad"), qt.IsTrue, qt.Commentf("process %d", k))
		c.Assert(f.refusesRequest(k, "sound0"), qt.IsFalse)
	}
}

// Guards against a request that is refused because targets failed at one moment.
func TestTargetsFailAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	for range 6 {
		f.crashOn(0, 100*time.Millisecond, "popular")
	}
	c.Assert(f.refusesRequest(0, "popular"), qt.IsFalse)
}

// Guards against a sound request that is refused for minutes because it was on the same
// targets as the bad one, and against a bad one that goes on because a sound one explains it.
func TestSuspects(t *testing.T) {
	for _, first := range []string{"sound", "bad"} { // that is sent again first
		c := qt.New(t)
		f := newFleet(1)
		for range 3 {
			f.clock.At += time.Second
			f.crashOn(0, 50*time.Millisecond, "bad", "sound")
		}
		c.Assert(f.refusesRequest(0, "bad") && f.refusesRequest(0, "sound"), qt.IsTrue)
		f.clock.At += 6 * time.Second
		c.Assert(f.refusesRequest(0, "bad") || f.refusesRequest(0, "sound"), qt.IsFalse)
		if first == "sound" {
			f.processes[0].Completed(whole("sound"))
		} else {
			f.crashOn(0, 50*time.Millisecond, "bad")
		}
		f.clock.At += time.Minute
		c.Assert(f.refusesRequest(0, "bad"), qt.IsTrue)
		c.Assert(f.refusesRequest(0, "sound"), qt.IsFalse)
	}
}

// Guards against BUDGET on the day deadly: requests that were suspected together were released
// at all processes at one moment, and the bad one went to four more targets before the first
// crash was known. Each is tried by one process at a time.
func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	c := qt.New(t)
	f := newFleet(5)
	for range 3 {
		f.clock.At += time.Second
		f.crashOn(0, 50*time.Millisecond, "bad", "sound1", "sound2")
	}
	f.exchange(0)
	end := f.clock.At + 5*time.Second
	for f.clock.At < end {
		for k := range f.processes {
			c.Assert(f.refusesRequest(k, "bad"), qt.IsTrue)
		}
		f.clock.At += 10 * time.Millisecond
	}
	sent, tries := 0, map[int]bool{}
	for range 100 { // half a second, before anything is known of a first try
		for k := range f.processes {
			for range 3 {
				if !f.refusesRequest(k, "bad") {
					sent++
					tries[k] = true
				}
			}
		}
		f.clock.At += 5 * time.Millisecond
	}
	c.Assert(sent, qt.Equals, 1)
	for k := range tries {
		f.crashOn(k, 50*time.Millisecond, "bad")
	}
	f.exchange(0)
	f.clock.At += time.Minute
	for k := range f.processes {
		c.Assert(f.refusesRequest(k, "bad"), qt.IsTrue)
		c.Assert(f.refusesRequest(k, "sound1"), qt.IsFalse)
	}
}

// TestRareSuspectIsTried checks that a suspect whose repetitions come to one process only is
// tried within half a minute.
func TestRareSuspectIsTried(t *testing.T) {
	c := qt.New(t)
	f := newFleet(100)
	for range 3 {
		f.clock.At += time.Second
		f.crashOn(0, 50*time.Millisecond, "bad", "sound")
	}
	f.exchange(0)
	f.clock.At += 5 * time.Second
	began := f.clock.At
	for f.refusesRequest(7, "sound") {
		f.clock.At += 100 * time.Millisecond
	}
	c.Assert(f.clock.At-began <= 40*time.Second, qt.IsTrue, qt.Commentf("tried after %v", f.clock.At-began))
}

// execution is a request at a target.
type execution struct {
	id        string
	process   int
	sent, end time.Duration
	attempts  int
}

// arrival is a request that comes to a process.
type arrival struct {
	id       string
	process  int
	at       time.Duration
	attempts int // sends of its repetitions before
}

// Guards against BUDGET with callers and processes that repeat sound requests too: of one that
// crashes each target, at most three may be sent later than ContactMs after the third crash,
// and no sound request may be refused at the end.
func TestRandomRequests(t *testing.T) {
	const (
		step      = 5 * time.Millisecond
		contact   = 3 * time.Second
		length    = 40 * time.Second
		down      = 3 * time.Second
		processes = 5
		resends   = 4 // of a request that was broken off, by processes and callers
	)
	for seed := range uint64(40) {
		c := qt.New(t)
		r := rand.New(rand.NewPCG(seed, 7))
		f := newFleet(processes)
		count := 3 + r.IntN(8)
		targets := make([]radishspoke.Instance, count)
		load := make([][]execution, count)
		upAt := make([]time.Duration, count)
		lives := 0
		start := func(k int) {
			lives++
			targets[k] = radishspoke.Instance{ID: fmt.Sprintf("d%d", lives), Group: service}
			load[k] = nil
		}
		for k := range targets {
			start(k)
		}
		var arrivals []arrival
		began := f.clock.At
		crashes, late, sound, served := 0, 0, 0, 0
		third := time.Duration(0)
		nextBad, nextSound := began+time.Second, began
		for f.clock.At < began+length {
			now := f.clock.At
			for nextSound <= now {
				id := fmt.Sprint("s", sound)
				if r.IntN(4) == 0 {
					id = fmt.Sprint("popular", r.IntN(5))
				}
				sound++
				arrivals = append(arrivals, arrival{id: id, process: r.IntN(processes), at: now})
				nextSound += time.Duration(5+r.IntN(20)) * time.Millisecond
			}
			for nextBad <= now {
				for range 1 + r.IntN(3) { // copies at several processes
					arrivals = append(arrivals, arrival{id: "bad", process: r.IntN(processes), at: now})
				}
				nextBad += time.Duration(200+r.IntN(400)) * time.Millisecond
			}
			var later []arrival
			for _, a := range arrivals {
				if a.at > now {
					later = append(later, a)
					continue
				}
				if f.refusesRequest(a.process, a.id) {
					continue
				}
				var up []int
				for k := range targets {
					if now >= upAt[k] {
						up = append(up, k)
					}
				}
				if len(up) == 0 {
					continue
				}
				k := up[r.IntN(len(up))]
				g := execution{id: a.id, process: a.process, sent: now, attempts: a.attempts, end: now + time.Duration(20+r.IntN(60))*time.Millisecond}
				if a.id == "bad" && third > 0 && now > third+contact {
					late++
				}
				load[k] = append(load[k], g)
			}
			arrivals = later
			for k := range targets {
				if now < upAt[k] {
					continue
				}
				if now > began && upAt[k] > 0 && targets[k].ID == "" {
					start(k)
				}
				crashed := false
				var rest []execution
				for _, g := range load[k] {
					switch {
					case g.end > now:
						rest = append(rest, g)
					case g.id == "bad":
						crashed = true
						rest = append(rest, g)
					default:
						served++
						f.processes[g.process].Completed(whole(g.id))
					}
				}
				load[k] = rest
				if !crashed {
					continue
				}
				crashes++
				if crashes == 3 {
					third = now
				}
				seen := map[int]bool{}
				for _, g := range rest {
					f.processes[g.process].Broken(targets[k], whole(g.id), g.sent)
					seen[g.process] = true
					if g.attempts < resends { // by the process at once, by the caller later
						again := arrival{id: g.id, process: g.process, at: now + step, attempts: g.attempts + 1}
						if g.attempts%2 == 1 {
							again.process, again.at = r.IntN(processes), now+time.Duration(50+r.IntN(200))*time.Millisecond
						}
						arrivals = append(arrivals, again)
					}
				}
				for p := range seen {
					f.processes[p].Crashed(targets[k])
				}
				upAt[k] = now + down
				targets[k] = radishspoke.Instance{}
			}
			if now%(200*time.Millisecond) == 0 {
				f.exchange(0)
			}
			f.clock.At += step
		}
		f.exchange(0)
		c.Check(late <= 3, qt.IsTrue, qt.Commentf("seed %d: sent %d times later, %d targets crashed", seed, late, crashes))
		for k := range processes {
			c.Check(f.refusesRequest(k, "bad"), qt.IsTrue, qt.Commentf("seed %d, process %d", seed, k))
			c.Check(f.processes[k].Quarantined(), qt.Equals, 1, qt.Commentf("seed %d, process %d", seed, k))
		}
		t.Logf("seed %d: %d targets, %d crashes, %d late, %d of %d sound requests served", seed, count, crashes, late, served, sound)
	}
}
