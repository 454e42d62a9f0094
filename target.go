package radishspoke

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// Errors returned by targets.
var (
	// ErrTargetRefused is returned if the target accepted no part of the
	// request.
	ErrTargetRefused = errors.New("target refused the request")

	// ErrTargetFailed is returned if the target failed and may have acted on
	// the request.
	ErrTargetFailed = errors.New("target failed")

	// ErrStaleOrder is returned if an order carries an outdated fencing token.
	ErrStaleOrder = errors.New("order carries an old fencing number")
)

// Order is the state that the planner assigns to an engine. An order replaces
// all orders with a lower epoch, and those of the same epoch with a lower
// sequence number.
type Order struct {
	Epoch    int64    `json:"epoch"`
	Sequence int64    `json:"sequence"`
	Role     Role     `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Older reports whether o was issued before p.
func (o Order) Older(p Order) bool {
	if o.Epoch != p.Epoch {
		return o.Epoch < p.Epoch
	}
	return o.Sequence < p.Sequence
}

// EngineState is the actual state of an engine. Changing is set while the
// engine carries out an order.
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

	// End is set with the last batch. Reason is then the finish reason, and Usage
	// the usage of the whole answer.
	End    bool
	Reason string
	Usage  Usage
}

// TokenStream is a stream of the tokens of a generated answer.
type TokenStream interface {
	// Next waits for the next batch and returns it. It must not be called
	// after it has returned the batch that has End set. The error wraps
	// ErrTargetFailed.
	Next() (TokenBatch, error)
	Close() error
}

// Engine is the interface of a model engine to its sidecar.
type Engine interface {
	// Generate starts a generation, or continues one of which the given number
	// of tokens has been produced. The error is ErrTargetRefused or
	// ErrTargetFailed.
	Generate(ctx context.Context, id string, g Generation, produced int) (TokenStream, error)

	// Cancel stops the generation with the given request id. It returns no
	// error if there is none.
	Cancel(ctx context.Context, id string) error

	// Load returns the load that the engine reports, which lags behind its
	// actual load.
	Load(ctx context.Context) (Load, error)

	// State returns the current state of the engine.
	State(ctx context.Context) (EngineState, error)

	// Apply carries out an order and returns when the order is complete. The
	// error may be ErrStaleOrder.
	Apply(ctx context.Context, o Order) error
}

// Answer is the response of a plain service.
type Answer struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
}

// Service is the interface of a plain service to its sidecar.
type Service interface {
	// Call forwards a request. The error is ErrTargetRefused if no byte of the
	// request reached the service, and ErrTargetFailed otherwise.
	Call(ctx context.Context, id string, c Call) (Answer, error)
}
