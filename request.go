package radishspoke

import (
	"io"
	"time"
)

// Outcome tells a caller whether a request was executed.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeRun means that the request ran.
	OutcomeRun Outcome = "run"

	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not-run"

	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Generation is a request to a model.
type Generation struct {
	Model   string
	Adapter string
	Prompt  string

	// MaxTokens is the maximum number of output tokens.
	MaxTokens int

	// Priority is passed to engines. Requests with a higher priority go first.
	Priority int
}

// Request is a request of a caller whose API key has been checked and removed.
// Requests on open routes need no key.
type Request struct {
	ID       string
	Team     string
	Key      Key // zero value on open routes
	Route    Route
	Deadline time.Time

	// Claim is the caller's idempotency key, or nil. Of all requests with the
	// same idempotency key, only one runs.
	Claim *Claim

	// Generation is set on model routes.
	Generation *Generation

	// Call is set on service routes.
	Call *Call
}

// Call is a request to a plain service.
type Call struct {
	Method string
	Path   string // including the query
	Header map[string][]string

	// Body is streamed and can be read only once. If it is nil, the body is
	// Replay, which can be sent repeatedly.
	Body   io.Reader
	Replay []byte
}

// Usage holds the token counts of one answer.
type Usage struct {
	Prompt int
	Cached int // prompt tokens found in the engine's KV cache
	Output int
}

// Load is the load and state that a target reports.
type Load struct {
	Target string

	// Running and Waiting are numbers of requests. PrefillTokens is the number
	// of prompt tokens that are still to be processed.
	Running       int
	Waiting       int
	PrefillTokens int

	// FreeBlocks and TotalBlocks are numbers of KV cache blocks, each of 2,000
	// tokens.
	FreeBlocks  int
	TotalBlocks int

	Role    Role
	Model   string
	Version string

	// Epoch and Sequence identify the last order that the sidecar applied.
	Epoch    int64
	Sequence int64

	// Draining is set while the sidecar accepts no new requests.
	Draining bool
}

// TokenCost returns the cost that rate limits and fair queueing charge for the
// given numbers of prompt and output tokens. Every token costs one.
func TokenCost(prompt, output int) float64 { return float64(prompt + output) }

// PromptTokens returns an estimate of the number of tokens in prompt, at four
// bytes per token, rounded up.
func PromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

const bytesPerToken = 4

// Failure is the final error of a request that gets no complete answer.
type Failure struct {
	Outcome Outcome

	// Status is the HTTP status, and Code a short machine-readable error code.
	Status  int
	Code    string
	Message string

	// RetryAfter is the time after which the caller should retry, or 0 if a
	// retry is of no use.
	RetryAfter time.Duration
}

// Error returns the message and the outcome.
func (f *Failure) Error() string { return f.Message + " (" + string(f.Outcome) + ")" }

// End is the end of a complete answer.
type End struct {
	// Reason is the finish reason of a generated answer, as reported by the
	// engine, such as "stop" or "length".
	Reason string
	Usage  Usage
}

// Sink receives an answer as it is produced. An error from any method cancels
// the request, because the caller no longer waits for the answer.
type Sink interface {
	// Head receives the status and headers of a service's answer.
	Head(status int, header map[string][]string) error

	// Tokens receives a part of a generated answer, and Data a part of the
	// body of a service's answer.
	Tokens(t []string) error
	Data(b []byte) error

	// End is called once, after the last part of a complete answer.
	End(e End) error
}

// Claim is a caller's idempotency key together with the fingerprint of the
// request for which it was first used.
type Claim struct {
	Key         string // hash of the team and the caller's idempotency key
	Fingerprint string // hash of the request
}
