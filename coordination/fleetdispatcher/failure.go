package fleetdispatcher

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"radishspoke"
	"radishspoke/platform"
)

// notRunFailure returns the failure of a request that has not run and never
// will.
func notRunFailure(status int, code, message string, after time.Duration) *radishspoke.Failure {
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeNotRun, Status: status, Code: code, Message: message, RetryAfter: after}
}

// unknownFailure returns the failure of a request that may have run.
func unknownFailure(status int, code, message string) *radishspoke.Failure {
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeUnknown, Status: status, Code: code, Message: message}
}

const (
	// retryAfterFraction is the fraction of the time to the deadline after which a
	// rejected caller is asked to retry. Callers accept delays of up to a third
	// of that time.
	retryAfterFraction = 0.2

	// minRetryAfter and maxRetryAfter bound the retry delay.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// failure returns the failure that ends a job. Its status is 503 if no target can
// have run the request. Otherwise it is 504 once the deadline has passed, and 502
// before.
func (d *Dispatcher) failure(j *job, code, message string) *radishspoke.Failure {
	left := j.deadline - d.Clock.Now()
	switch {
	case !j.mayHaveRun:
		return notRunFailure(http.StatusServiceUnavailable, code, message, retryAfter(left))
	case left <= 0:
		return unknownFailure(http.StatusGatewayTimeout, code, message)
	}
	return unknownFailure(http.StatusBadGateway, code, message)
}

// retryAfter returns the retry delay of a rejected caller by the time that is left to its
// deadline. It is 0 if a retry would come too late.
func retryAfter(left time.Duration) time.Duration {
	if left <= minRetryAfter {
		return 0
	}
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(float64(left)*retryAfterFraction)))
}

// noTarget returns the failure of a job for which no target of a role, or of any role if it
// is empty, can be chosen.
func (d *Dispatcher) noTarget(j *job, role radishspoke.Role, code, message string) *radishspoke.Failure {
	if after, ok := d.Router.Pause(j.group.Name, role); ok && !j.mayHaveRun {
		return notRunFailure(http.StatusServiceUnavailable, code, "all targets have asked for a pause or are at their limits", max(after, retryAfter(j.deadline-d.Clock.Now())))
	}
	return d.failure(j, code, message)
}

// writeFailure answers a request with a failure.
func (d *Dispatcher) writeFailure(w http.ResponseWriter, j *job, fail *radishspoke.Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	platform.SetID(h, j.incoming.ID)
	if fail.RetryAfter > 0 {
		platform.SetRetryAfter(h, fail.RetryAfter)
	}
	body, err := json.Marshal(map[string]string{"error": fail.Message, "code": fail.Code, "outcome": string(fail.Outcome)})
	if err != nil {
		d.Log.Error("encoding the error response failed", "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(fail.Status)
	_, _ = w.Write(body) // nobody reads the answer if the caller has disconnected
	d.logRequest(j, fail.Status, fail.Code+": "+fail.Message)
}

// logRequest writes the log line of a finished request and counts it. A status
// of 0 means that the caller disconnected. Some keys of the line differ from the
// names in the code: fingerprint is the same for repetitions of a request, turn is
// the queue time, read the prefill time, sendoff the response time of the last
// target, first the time from the arrival to the first event, pause the longest gap
// between events, partial the number of bytes after the last whole event, software the
// version of the software that generated the stream, attempt the id of the request that
// began the stream if this one resumes it, and left the time to the deadline.
func (d *Dispatcher) logRequest(j *job, status int, outcome string) {
	now := d.Clock.Now()
	level := slog.LevelInfo
	if status == 0 || status >= http.StatusBadRequest {
		level = slog.LevelWarn
	}
	o := radishspoke.OutcomeRun
	switch {
	case !j.counted && !j.mayHaveRun:
		o = radishspoke.OutcomeNotRun
	case status == 0 || status >= http.StatusInternalServerError:
		o = radishspoke.OutcomeUnknown
	}
	d.Recorder.ObserveRequest(j.team.Name, j.rule.Name, o, status, now-j.arrived)
	firstEvent, left := time.Duration(0), time.Duration(0)
	if j.deadline > 0 {
		left = j.deadline - now
	}
	if j.firstEvent > 0 {
		firstEvent = j.firstEvent - j.arrived
	}
	d.Log.Log(context.Background(), level, "request", "id", j.incoming.ID, "route", j.rule.Name, "team", j.team.Name, "status", status, "fingerprint", j.fingerprint,
		"outcome", outcome, "targets", j.visited, "took", now-j.arrived, "turn", j.queueTime, "read", j.prefill,
		"sendoff", j.responseTime, "first", firstEvent, "pause", j.longestGap, "framing", j.framing, "partial", j.partial, "software", j.software, "attempt", j.incoming.Resumes, "left", left)
}
