package assembler

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
)

// TestRollout commits a new version of the model under traffic, and injects a
// fault meanwhile. Every engine must change to the new version, none may receive
// conflicting orders, and no response may be aborted.
func TestRollout(t *testing.T) {
	faults := map[string]func(b *testbed){
		"none":            func(*testbed) {},
		"sidecar killed":  func(b *testbed) { b.killSidecar("e1"); b.restartSidecar("e1") },
		"engine crashed":  func(b *testbed) { b.Engines["e1"].Crash(); time.Sleep(time.Second); b.Engines["e1"].Restart() },
		"planner killed":  func(b *testbed) { b.killPlanner() },
		"planner cut off": func(b *testbed) { b.network.Isolate(b.planner(), "platform") },
		"store down a while": func(b *testbed) {
			b.Platform.SetFaults(outage)
			time.Sleep(20 * time.Second)
			b.Platform.SetFaults(fake.PlatformFaults{})
		},
		"answers lost":          func(b *testbed) { b.Platform.SetFaults(fake.PlatformFaults{LoseResponses: 5}) },
		"edited again":          func(b *testbed) { b.setVersion("3") },
		"planner and a sidecar": func(b *testbed) { b.killPlanner(); b.killSidecar("e2"); b.restartSidecar("e2") },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(s *DevSettings) { s.Entries = 3 }, func(b *testbed) {
				aborted := b.rollOut(fault)
				maxAborted := 0
				if strings.HasPrefix(name, "planner killed") || strings.HasPrefix(name, "planner and") {
					maxAborted = 4 // requests that the killed entry may have had in progress
				}
				b.Assert(aborted <= maxAborted, qt.IsTrue, qt.Commentf("%d responses were aborted", aborted))
			})
		})
	}
}

// rollOut commits a new version of the model under traffic, injects a fault, and
// returns the number of responses that were aborted.
func (b *testbed) rollOut(fault func(b *testbed)) (aborted int) {
	b.Helper()
	time.Sleep(settleTime)
	const requests = 30
	replies := make([]reply, requests)
	var group sync.WaitGroup
	for i := range replies {
		switch i {
		case 5:
			b.setVersion("2")
		case 15:
			fault(b)
		}
		entry := b.liveEntry(i)
		group.Add(1)
		go func() {
			defer group.Done()
			replies[i] = b.chat(entry, "big", fmt.Sprintf("question %d", i), 100)
		}()
		time.Sleep(300 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(40 * time.Second)
	for i, r := range replies {
		if r.err != nil {
			aborted++
			continue
		}
		b.assertComplete(r, fmt.Sprintf("question %d", i), 100)
	}
	v := b.Entries[0].watcher.Current().Inventory
	for name, e := range b.Engines {
		b.Assert(e.State().Version, qt.Equals, v.Models[0].Version, qt.Commentf("engine %s", name))
		b.Assert(e.Counts().Conflicts, qt.Equals, 0)
	}
	return aborted
}

// setVersion commits another version of the model.
func (b *testbed) setVersion(version string) {
	b.edit(func(d *radishspoke.Document) {
		head, rest, _ := strings.Cut(d.Inventory, "[model m]\nversion = ")
		_, rest, _ = strings.Cut(rest, "\n")
		d.Inventory = head + "[model m]\nversion = " + version + "\n" + rest
	})
}

// planner returns the name of the entry that holds plannerLease.
func (b *testbed) planner() string {
	for _, e := range b.Entries {
		if _, ok := e.elector.Holds(plannerLease); ok {
			return e.settings.Process.Name
		}
	}
	b.Fatal("no entry holds the planner lease")
	return ""
}

// killPlanner ends the planner and removes it from the platform's list.
func (b *testbed) killPlanner() {
	name := b.planner()
	for i, e := range b.Entries {
		if e.settings.Process.Name == name {
			e.Close()
			b.Entries = append(b.Entries[:i:i], b.Entries[i+1:]...)
			b.Platform.RemoveMember(name)
			return
		}
	}
}
