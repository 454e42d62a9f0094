package assembler

import (
	"log/slog"
	"net/http"

	"radishspoke"
	"radishspoke/platform"
	"radishspoke/transport/budgeter"
)

// newBudget returns the budget of a process on an external platform, which sends the headers in
// refusal to clients that it refuses. Memory is returned to the host only where the platform
// states how much there is.
func newBudget(s platform.Settings, refusal http.Header, log *slog.Logger) *budgeter.Budget {
	platform.SetRetryAfter(refusal, budgeter.RetryAfter)
	return budgeter.New(budgeter.Settings{Memory: s.Memory, Descriptors: s.Descriptors, Refusal: refusal, Return: s.Memory > 0}, log)
}

// callerLimits returns the limits of callers that the configuration states, which are none
// while it is not known.
func (e *FleetEntry) callerLimits() radishspoke.CallerLimits {
	if c := e.Configuration(); c != nil {
		return c.Table.Limits
	}
	return radishspoke.CallerLimits{}
}

// peerLimits returns the limits at ports for processes of the system, which keep connections
// for longer than callers.
func peerLimits() radishspoke.CallerLimits {
	return radishspoke.CallerLimits{HeaderTime: headerTimeout, IdleTime: peerIdleTime}
}
