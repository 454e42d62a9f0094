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

// Quarantine tells which prompts must not be sent to engines, because engines end on
// them. See quarantiner.Quarantiner.
type Quarantine interface {
	Refuses(group string, parts []radishspoke.PromptPart) (part string, after time.Duration, ok bool)
	Broken(engine radishspoke.Instance, parts []radishspoke.PromptPart, sent time.Duration)
	Ended(engine radishspoke.Instance)
	Completed(group string, parts []radishspoke.PromptPart)
}

// checkPrompt returns a failure if the prompt of a request must not be sent to engines.
// It is called before each send because engines may have ended on a part of the prompt
// while the request waited.
func (d *Dispatcher) checkPrompt(j *job) *radishspoke.Failure {
	part, after, ok := d.Quarantine.Refuses(j.group.Name, j.incoming.Generation.Parts)
	if !ok {
		return nil
	}
	message := "engines have ended on part " + part + " of the prompt"
	if j.mayHaveRun {
		return d.failure(j, "quarantine", message)
	}
	return notRunFailure(http.StatusServiceUnavailable, "quarantine", message, after)
}

// maxBreaks is the number of engines that may break one request off. Attempts do not
// bound it, because a prefill is none.
const maxBreaks = 3

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
	d.endings.check(t, d.Dependencies)
}

const (
	// closeDelay is the time before a probe in which a process that ends closes its
	// listener.
	closeDelay = 20 * time.Millisecond

	// probeInterval is the time between two probes of an engine that still listens but
	// goes on to break generations off.
	probeInterval = 200 * time.Millisecond
)

// endings finds out whether engines that have broken generations off have ended.
type endings struct {
	mu sync.Mutex

	// probing has the ids of the engines that are being probed. The value is whether
	// the engine has broken off further generations since the probe began.
	probing map[string]bool
}

// check probes an engine, in the background, and reports its end if it does not listen
// any more.
func (e *endings) check(t radishspoke.Instance, d Dependencies) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, running := e.probing[t.ID]; running {
		e.probing[t.ID] = true
		return
	}
	e.probing[t.ID] = false
	go func() {
		ctx := context.Background() // the probe is bounded by the dial timeout of the client
		for delay := closeDelay; ; delay = probeInterval {
			ticker.Sleep(ctx, delay)
			err := d.Targets.Probe(ctx, t.Address)
			if errors.Is(err, syscall.ECONNREFUSED) {
				d.Log.Warn("engine has ended", "engine", t.ID, "address", t.Address)
				d.Quarantine.Ended(t)
			}
			if !e.again(t.ID) {
				return
			}
		}
	}()
}

// again reports whether an engine must be probed again. If not, it is not being probed
// any more.
func (e *endings) again(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.probing[id] {
		delete(e.probing, id)
		return false
	}
	e.probing[id] = false
	return true
}
