package fleetdispatcher

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Quarantine tells which prompts must not be sent to engines, because engines crash on
// them. See quarantiner.Quarantiner.
type Quarantine interface {
	Refuses(group string, parts []radishspoke.PromptPart) (part string, after time.Duration, ok bool)
	Broken(engine radishspoke.Instance, parts []radishspoke.PromptPart, sent time.Duration)
	Crashed(engine radishspoke.Instance)
	Completed(group string, parts []radishspoke.PromptPart)
}

// checkPrompt returns a failure if the prompt of a request must not be sent to engines.
// It is called before each send because engines may have crashed on a part of the prompt
// while the request waited.
func (d *Dispatcher) checkPrompt(j *job) *radishspoke.Failure {
	part, after, ok := d.Quarantine.Refuses(j.group.Name, j.incoming.Generation.Parts)
	if !ok {
		return nil
	}
	message := "engines have crashed on part " + part + " of the prompt"
	if j.mayHaveRun {
		return d.failure(j, "quarantine", message)
	}
	return notRunFailure(http.StatusServiceUnavailable, "quarantine", message, after)
}

// maxBreaks is the number of engines that may break one request off. Attempts do not
// bound it, because a prefill is none.
const maxBreaks = 2

// handleBreak handles a generation or a prefill, sent to an engine at the given time, that
// the engine has broken off.
func (d *Dispatcher) handleBreak(j *job, t radishspoke.Instance, sent time.Duration, reason error) {
	j.breaks++
	var ids []string
	for _, p := range j.incoming.Generation.Parts {
		ids = append(ids, p.ID)
	}
	d.Log.Warn("generation broken off", "id", j.incoming.ID, "engine", t.ID, "parts", strings.Join(ids, ","), "after", d.Clock.Now()-sent, "error", reason)
	d.Quarantine.Broken(t, j.incoming.Generation.Parts, sent)
	d.crashes.check(t, d.Dependencies)
}

const (
	// closeDelay is the time before a probe in which a process that crashes closes its
	// listener.
	closeDelay = 20 * time.Millisecond

	// probeInterval is the time between two probes of an engine that still listens but
	// goes on to break generations off.
	probeInterval = 200 * time.Millisecond
)

// crashDetector finds out whether engines that have broken generations off have crashed.
type crashDetector struct {
	mu sync.Mutex

	// probing has the ids of the engines that are being probed. The value is whether
	// the engine has broken off further generations since the probe began.
	probing map[string]bool
}

// check probes an engine, in the background, and reports a crash if it does not listen
// any more.
func (c *crashDetector) check(t radishspoke.Instance, d Dependencies) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, running := c.probing[t.ID]; running {
		c.probing[t.ID] = true
		return
	}
	c.probing[t.ID] = false
	go func() {
		ctx := context.Background() // the probe is bounded by the dial timeout of the client
		for delay := closeDelay; ; delay = probeInterval {
			ticker.Sleep(ctx, delay)
			err := d.Targets.Probe(ctx, t.Address)
			if errors.Is(err, syscall.ECONNREFUSED) {
				d.Log.Warn("engine has crashed", "engine", t.ID, "address", t.Address)
				d.Quarantine.Crashed(t)
			}
			if !c.again(t.ID) {
				return
			}
		}
	}()
}

// again reports whether an engine must be probed again. If not, it is not being probed
// any more.
func (c *crashDetector) again(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.probing[id] {
		delete(c.probing, id)
		return false
	}
	c.probing[id] = false
	return true
}
