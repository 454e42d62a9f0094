package soaker

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"radishspoke/platform"
	"radishspoke/transport/eventreader"
)

// release keeps the software version of the targets that start, and counts the streams that
// callers resume.
type release struct {
	number atomic.Int64

	resumed, refused atomic.Int64

	mu       sync.Mutex
	refusals map[string]int // failed attempts to resume a stream, by status and code
}

// recordRefusal counts a failed attempt to resume a stream. The status is 0 if there was no
// answer.
func (r *release) recordRefusal(status int, body []byte) {
	var fail struct{ Code string }
	_ = json.Unmarshal(body, &fail) // failures of targets have no code
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals == nil {
		r.refusals = map[string]int{}
	}
	r.refusals[strings.TrimSpace(fmt.Sprint(status, " ", fail.Code))]++
}

// refusalCounts returns the numbers of failed attempts to resume a stream.
func (r *release) refusalCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.refusals)
}

// version returns the version of a target that starts now.
func (r *release) version() string { return fmt.Sprint("v", 1+r.number.Load()) }

// received holds the headers of a request to a target, and how long the target was silent
// before it read them.
type received struct {
	platform.ReceivedHeader
	waited time.Duration
}

// stream returns the ID of the request that began the stream.
func (r received) stream() string {
	if r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// checkStream checks the events of the stream of a request after the number after. They must
// be whole and in order. It returns the version that wrote them, which is empty if there are
// none, the number of the last event, and what is wrong with them or "".
func checkStream(id string, after int, body string) (software string, last int, fault string) {
	last = after
	for _, event := range strings.SplitAfter(body[:eventreader.End([]byte(body))], "\n\n") {
		if event == "" {
			continue
		}
		var number, counted int
		var stream, version string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s %d %s\n\n", &number, &stream, &counted, &version); err != nil {
			return software, last, fmt.Sprintf("%q is no event: %v", event, err)
		}
		switch {
		case stream != id:
			return software, last, fmt.Sprintf("event of the stream %s", stream)
		case number != last+1 || counted != number:
			return software, last, fmt.Sprintf("event %d follows event %d", number, last)
		case software != "" && version != software:
			return software, last, fmt.Sprintf("event %d is from version %s, those before from %s", number, version, software)
		}
		software, last = version, number
	}
	return software, last, ""
}

// planRelease adds the events of releases, in which targets start again one by one with another
// version, and of moments at which all entries are killed.
func (s *Soak) planRelease(random *rand.Rand, add func(at time.Duration, apply func(), format string, args ...any)) {
	engines := min(s.settings.Engines, len(s.targets))
	for range 2 {
		at := s.settings.Quiet + time.Duration(random.Int64N(int64(s.settings.Length/2)))
		add(at, func() { s.release.number.Add(1) }, "targets start with a new version from now on")
		for _, k := range random.Perm(engines)[:engines/2] {
			t := s.targets[k]
			at += time.Duration(random.Int64N(int64(400 * time.Millisecond)))
			add(at, t.restart, "restart target %s with the new version", t.address)
		}
		kill := at + time.Duration(random.Int64N(int64(time.Second)))
		down := 50*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
		add(kill, func() {
			var kills sync.WaitGroup
			for _, p := range s.entries {
				kills.Go(func() { p.restart(syscall.SIGKILL, down) })
			}
			kills.Wait()
		}, "kill all entries, start them after %v", down)
	}
}
