package radishspoke

import (
	"io"
	"time"
)

// Outcome tells a caller what became of a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeRun says that the request ran.
	OutcomeRun Outcome = "run"

	// OutcomeNotRun says that the request did not run and will not.
	OutcomeNotRun Outcome = "not-run"

	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Generation is a request to a model.
type Generation struct {
	Model   string
	Adapter string
	Prompt  string

	// MaxTokens bounds the answer.
	MaxTokens int

	// Priority is passed to engines; higher goes first.
	Priority int
}

// Request is a caller's request, after its key has been checked and removed.
type Request struct {
	ID       string
	Team     string
	Key      Key // zero on open routes
	Route    Route
	Deadline time.Time

	// Claim, if set, is the caller's own key for the request: of all
	// requests with it, one runs.
	Claim *Claim

	// Generation is set on model routes.
	Generation *Generation

	// Call is set on service routes.
	Call *Call
}

// Call is a request to a plain service.
type Call struct {
	Method string
	Path   string // with query
	Header map[string][]string

	// Body is read as it comes, once. When it is nil the body is Replay,
	// which can be sent again.
	Body   io.Reader
	Replay []byte
}

// Usage counts the tokens of one answer.
type Usage struct {
	Prompt int
	Cached int // prompt tokens found in the engine's cache
	Output int
}

// Load is a target's report about itself.
type Load struct {
	Target string

	// Running and Waiting count requests, PrefillTokens the prompt tokens
	// still to be read.
	Running       int
	Waiting       int
	PrefillTokens int

	// FreeBlocks and TotalBlocks count KV blocks of 2,000 tokens.
	FreeBlocks  int
	TotalBlocks int

	Role    Role
	Model   string
	Version string

	// Epoch and Sequence are of the last order that the sidecar applied.
	Epoch    int64
	Sequence int64

	// Draining is set while the sidecar takes no new work.
	Draining bool
}

// TokenCost converts prompt and output tokens to the token cost that limits
// and fair queueing use. Every token costs one.
func TokenCost(prompt, output int) float64 { return float64(prompt + output) }

// PromptTokens estimates the tokens of a prompt: four bytes make one.
func PromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

const bytesPerToken = 4

// Failure is the final word on a request that gets no whole answer.
type Failure struct {
	Outcome Outcome

	// Status is the HTTP status, Code a short name for programs.
	Status  int
	Code    string
	Message string

	// RetryAfter is when to come back; 0 if it would be of no use.
	RetryAfter time.Duration
}

// Error gives the message and the outcome.
func (f *Failure) Error() string { return f.Message + " (" + string(f.Outcome) + ")" }

// End closes a whole answer.
type End struct {
	Reason string
	Usage  Usage
}

// Sink takes an answer as it comes. An error ends the request, as nobody
// waits for it any more.
type Sink interface {
	// Head takes the status and headers of a service's answer.
	Head(status int, header map[string][]string) error

	// Tokens takes a part of a generated answer, Data one of a service's.
	Tokens(t []string) error
	Data(b []byte) error

	// End is called once, after the last part of a whole answer.
	End(e End) error
}

// Claim is a caller's idempotency key and what it was first used for.
type Claim struct {
	Key         string // hash of the team and the caller's key
	Fingerprint string // hash of the request
}
