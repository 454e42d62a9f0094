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
	"radishspoke/coordination/quarantiner"
	"radishspoke/transport/ticker"
)

// Quarantine tells which requests must not be sent to targets, because targets crash on
// them. See quarantiner.Quarantiner.
type Quarantine interface {
	Admit(s quarantiner.Subject) quarantiner.Decision
	Refuses(s quarantiner.Subject) (k quarantiner.Key, after time.Duration, ok bool)
	Broken(target radishspoke.Instance, s quarantiner.Subject, sent time.Duration)
	Crashed(target radishspoke.Instance)
	Completed(s quarantiner.Subject)
}

// subject returns the request as the possible cause of a crash.
func (j *job) subject() quarantiner.Subject {
	s := quarantiner.Subject{Group: j.group.Name, Request: j.fingerprint}
	if j.incoming.Generation != nil {
		s.Parts = j.incoming.Generation.Parts
	}
	return s
}

// checkQuarantine returns a failure if a request must not be sent to targets. It is called
// before each send because targets may have crashed on the request, or on a part of its
// prompt, while it waited.
func (d *Dispatcher) checkQuarantine(j *job) *radishspoke.Failure {
	var cause quarantiner.Key
	var after time.Duration
	if j.trial {
		var refused bool
		if cause, after, refused = d.Quarantine.Refuses(j.subject()); !refused {
			return nil
		}
	} else {
		c := d.Quarantine.Admit(j.subject())
		if j.trial = c.Trial; c.Admitted {
			return nil
		}
		cause, after = c.Key, c.After
	}
	message := "targets have crashed on " + cause.String()
	if j.mayHaveRun {
		return d.failure(j, "quarantine", message)
	}
	return notRunFailure(http.StatusServiceUnavailable, "quarantine", message, after)
}

// maxBreaks is the number of engines that may break one request off. Attempts do not
// bound it, because a prefill is none.
const maxBreaks = 2

// handleBreak handles a request or a prefill, sent to a target at the given time, that the
// target has broken off.
func (d *Dispatcher) handleBreak(j *job, t radishspoke.Instance, sent time.Duration, reason error) {
	j.breaks++
	j.trial = j.trial && j.replacement != nil // the one that goes on may be on trial
	s := j.subject()
	ids := make([]string, len(s.Parts))
	for i, p := range s.Parts {
		ids[i] = p.ID
	}
	d.Log.Warn("request broken off", "id", j.incoming.ID, "target", t.ID, "fingerprint", s.Request, "parts", strings.Join(ids, ","), "after", d.Clock.Now()-sent, "error", reason)
	d.Quarantine.Broken(t, s, sent)
	d.crashes.check(t, d.Dependencies)
}

const (
	// closeDelay is the time before a probe in which a process that crashes closes its
	// listener.
	closeDelay = 20 * time.Millisecond

	// probeInterval is the time between two probes of a target that still listens but
	// goes on to break requests off.
	probeInterval = 200 * time.Millisecond
)

// crashDetector finds out whether targets that have broken requests off have crashed.
type crashDetector struct {
	mu sync.Mutex

	// probing has the ids of the targets that are being probed. The value is whether
	// the target has broken off further requests since the probe began.
	probing map[string]bool
}

// check probes a target, in the background, and reports a crash if it does not listen
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
				d.Log.Warn("target has crashed", "target", t.ID, "address", t.Address)
				d.Quarantine.Crashed(t)
			}
			if !c.again(t.ID) {
				return
			}
		}
	}()
}

// again reports whether a target must be probed again. If not, it is not being probed
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
