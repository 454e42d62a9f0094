package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"radishspoke"
)

// errorBody is the body of an error response in the format of the OpenAI API. The
// field param of that format is not set. If a part of the request is invalid, its
// name precedes the message instead.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// badRequest returns the failure of a request that is invalid. The name of the
// invalid part of the request, if param is not empty, precedes the message.
func badRequest(status int, code, param, message string) *radishspoke.Failure {
	if param != "" {
		message = param + ": " + message
	}
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeNotRun, Status: status, Code: code, Message: message}
}

// errorType returns the OpenAI error type of an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// newErrorBody returns the body of the error response to the request with the given
// id.
func newErrorBody(id string, f *radishspoke.Failure) errorBody {
	return errorBody{Error: errorDetail{
		Message: f.Message, Type: errorType(f.Status), Code: f.Code, Outcome: string(f.Outcome), Request: id,
	}}
}

// writeFailure writes an error response. No part of a response may have been
// written before.
func writeFailure(w http.ResponseWriter, id string, f *radishspoke.Failure) {
	h := w.Header()
	h.Set(RequestHeader, id)
	h.Set(OutcomeHeader, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(f.RetryAfter)))
	}
	writeJSON(w, f.Status, newErrorBody(id, f))
}

// ceilSeconds returns d in seconds, rounded up, because Retry-After has a resolution
// of one second.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
