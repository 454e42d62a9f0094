package relayer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/platform"
	"radishspoke/transport/httpclient"
)

// Targets sends calls to targets.
type Targets interface {
	Do(ctx context.Context, address string, c *httpclient.Call) (*httpclient.Response, error)
}

const (
	// prefillSlack and prefillFactor bound the time of a prefill: it may take
	// prefillFactor times the expected time, plus prefillSlack.
	prefillSlack  = 250 * time.Millisecond
	prefillFactor = 4

	maxHandleBytes = 4 << 10 // maximum size of the answer to a prefill call

	// releaseTimeout bounds a call that releases what an engine keeps.
	releaseTimeout = time.Second
)

// Errors of prefills.
var (
	// ErrNotPrefilled is returned if an engine did not prefill a prompt, by
	// Prefill and by Client.Do.
	ErrNotPrefilled = errors.New("prompt was not read")

	// ErrNoResponse is wrapped together with ErrNotPrefilled by Client.Do if the
	// engine did not respond. Prefill then returns an error of package httpclient
	// instead.
	ErrNoResponse = errors.New("engine gave no answer")
)

// PrefillTimeout returns the time limit of a prefill that is expected to take the
// given time.
func PrefillTimeout(expected time.Duration) time.Duration {
	return prefillFactor*expected + prefillSlack
}

// Prefill has the engine at address prefill a prompt within the given time, and
// returns the handle of its KV cache and the headers of the
// engine's answer. The headers are also returned if the error is ErrNotPrefilled.
// Other errors are those of package httpclient.
func Prefill(ctx context.Context, targets Targets, address string, c *httpclient.Call, timeout time.Duration) (*radishspoke.Handle, platform.AnswerHeader, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := targets.Do(ctx, address, c)
	if err != nil {
		return nil, platform.AnswerHeader{}, err
	}
	defer r.Close()
	a := platform.DecodeAnswer(r.Status, r.Header)
	if r.Status != http.StatusOK {
		return nil, a, fmt.Errorf("%w: engine %s answered with status %d", ErrNotPrefilled, address, r.Status)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, r, maxHandleBytes))
	if err != nil {
		return nil, a, fmt.Errorf("%w: read the answer of engine %s: %w", ErrNotPrefilled, address, err)
	}
	h, err := platform.DecodeHandle(data, address)
	if err != nil {
		return nil, a, fmt.Errorf("%w: %w", ErrNotPrefilled, err)
	}
	return &h, a, nil
}

// ReleaseHandle releases the KV cache of a prompt that will not be transferred.
// It returns without waiting for the engine. A nil handle is ignored.
func ReleaseHandle(targets Targets, h *radishspoke.Handle, log *slog.Logger) {
	if h == nil {
		return
	}
	go release(targets, h.Address, platform.HandlePath(*h), http.Header{}, log)
}
