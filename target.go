package radishspoke

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// Errors that targets give.
var (
	// ErrTargetRefused says that the target took nothing of the request.
	ErrTargetRefused = errors.New("target refused the request")

	// ErrTargetFailed says that the target may have acted on the request.
	ErrTargetFailed = errors.New("target failed")

	// ErrStaleOrder says that an order carries an old fencing number.
	ErrStaleOrder = errors.New("order carries an old fencing number")
)

// Order is the state that a planner wants an engine to have. Orders of a
// higher epoch, then of a higher sequence, replace lower ones.
type Order struct {
	Epoch    int64    `json:"epoch"`
	Sequence int64    `json:"sequence"`
	Role     Role     `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Older tells whether o was given before p.
func (o Order) Older(p Order) bool {
	if o.Epoch != p.Epoch {
		return o.Epoch < p.Epoch
	}
	return o.Sequence < p.Sequence
}

// EngineState is what an engine really is. Changing is set while it carries
// out an order.
type EngineState struct {
	Role     Role     `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Changing bool     `json:"changing,omitempty"`
}

// TokenBatch is a part of a generated answer.
type TokenBatch struct {
	Tokens []string

	// End is set with the last batch.
	End    bool
	Reason string
	Usage  Usage
}

// TokenStream reads a generated answer.
type TokenStream interface {
	// Next waits for the next batch. After the one with End it must not be
	// called again. The error wraps ErrTargetFailed.
	Next() (TokenBatch, error)
	Close() error
}

// Engine is a model engine, as its sidecar sees it.
type Engine interface {
	// Generate starts an answer after the tokens produced so far. The
	// error is ErrTargetRefused or ErrTargetFailed.
	Generate(ctx context.Context, id string, g Generation, produced int) (TokenStream, error)

	// Cancel stops an answer. It is no error if there is none.
	Cancel(ctx context.Context, id string) error

	// Load returns the engine's report, which lags.
	Load(ctx context.Context) (Load, error)

	// State returns what the engine is now.
	State(ctx context.Context) (EngineState, error)

	// Apply carries out an order and returns once it is done. The error may
	// be ErrStaleOrder.
	Apply(ctx context.Context, o Order) error
}

// Answer is the answer of a plain service.
type Answer struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
}

// Service is a plain service, as its sidecar sees it.
type Service interface {
	// Call passes a request on. The error is ErrTargetRefused when no byte
	// of it reached the service, else ErrTargetFailed.
	Call(ctx context.Context, id string, c Call) (Answer, error)
}
