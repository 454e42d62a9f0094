package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"radishspoke"
)

// errorBody is the OpenAI shape of an error.
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

// badRequest makes a failure that is the caller's fault. Param names the part
// of the request at fault, if there is one.
func badRequest(status int, code, param, message string) *radishspoke.Failure {
	if param != "" {
		message = param + ": " + message
	}
	return &radishspoke.Failure{Outcome: radishspoke.OutcomeNotRun, Status: status, Code: code, Message: message}
}

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

func detailOf(id string, f *radishspoke.Failure) errorBody {
	return errorBody{Error: errorDetail{
		Message: f.Message, Type: errorType(f.Status), Code: f.Code, Outcome: string(f.Outcome), Request: id,
	}}
}

// writeFailure answers a request of which nothing has been answered yet.
func writeFailure(w http.ResponseWriter, id string, f *radishspoke.Failure) {
	h := w.Header()
	h.Set(RequestHeader, id)
	h.Set(OutcomeHeader, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(f.RetryAfter)))
	}
	writeJSON(w, f.Status, detailOf(id, f))
}

// seconds rounds up, as Retry-After takes whole seconds.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
