package forwarder

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

// notRun is a failure of a request that has not run and never will.
func notRun(status int, code, message string, after time.Duration) *radishspoke.Failure {
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeNotRun, Status: status, Code: code, Message: message, RetryAfter: after}
}

// unknown is a failure of a request that may have run.
func unknown(status int, code, message string) *radishspoke.Failure {
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeUnknown, Status: status, Code: code, Message: message}
}

const (
	// returnPart is the part of the time left after which a refused caller
	// comes back. Callers honour up to a third.
	returnPart = 0.2

	// leastReturn and mostReturn bound that time.
	leastReturn = 100 * time.Millisecond
	mostReturn  = 2 * time.Second
)

// failed returns the failure of a job as far as it went.
func (f *Forwarder) failed(j *job, code, message string) *radishspoke.Failure {
	left := j.deadline - f.Clock.Now()
	switch {
	case !j.sent && left > leastReturn:
		after := min(mostReturn, max(leastReturn, time.Duration(float64(left)*returnPart)))
		return notRun(http.StatusServiceUnavailable, code, message, after)
	case !j.sent:
		return notRun(http.StatusServiceUnavailable, code, message, 0)
	case left <= 0:
		return unknown(http.StatusGatewayTimeout, code, message)
	}
	return unknown(http.StatusBadGateway, code, message)
}

// refuse answers a request with a failure.
func (f *Forwarder) refuse(w http.ResponseWriter, j *job, fail *radishspoke.Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	platform.SetID(h, j.in.ID)
	if fail.RetryAfter > 0 {
		platform.SetRetryAfter(h, fail.RetryAfter)
	}
	body, err := json.Marshal(map[string]string{"error": fail.Message, "code": fail.Code, "outcome": string(fail.Outcome)})
	if err != nil {
		f.Log.Error("failure not encoded", "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(fail.Status)
	_, _ = w.Write(body) // a caller who has left needs no answer
	f.note(j, fail.Status, fail.Code+": "+fail.Message)
}

// note writes the line of a request and counts it.
func (f *Forwarder) note(j *job, status int, outcome string) {
	now := f.Clock.Now()
	level := slog.LevelInfo
	if status == 0 || status >= http.StatusBadRequest {
		level = slog.LevelWarn
	}
	o := radishspoke.OutcomeRun
	switch {
	case !j.begun && !j.sent:
		o = radishspoke.OutcomeNotRun
	case status == 0 || status >= http.StatusInternalServerError:
		o = radishspoke.OutcomeUnknown
	}
	f.Recorder.Request(j.team.Name, j.rule.Name, o, status, now-j.arrived)
	first, left := time.Duration(0), time.Duration(0)
	if j.deadline > 0 {
		left = j.deadline - now
	}
	if j.first > 0 {
		first = j.first - j.arrived
	}
	f.Log.Log(context.Background(), level, "request", "id", j.in.ID, "route", j.rule.Name, "team", j.team.Name, "status", status,
		"outcome", outcome, "targets", j.path, "took", now-j.arrived, "turn", j.turn, "read", j.read,
		"sendoff", j.sendoff, "first", first, "pause", j.pause, "left", left)
}
