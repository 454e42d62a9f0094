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
	"radishspoke/transport/caller"
)

// Targets makes calls to targets.
type Targets interface {
	Do(ctx context.Context, address string, c *caller.Call) (*caller.Answer, error)
}

const (
	// readSlack and readFactor bound a reading: the time that it is
	// expected to take, that many times, and the slack.
	readSlack  = 250 * time.Millisecond
	readFactor = 4

	mostHandle = 4 << 10 // bytes of the answer to a reading

	// freeTimeout bounds the call that frees a handle.
	freeTimeout = time.Second
)

// Errors of readings by way of a Relayer, and of Read.
var (
	// ErrNotRead says that an engine did not read a prompt.
	ErrNotRead = errors.New("prompt was not read")

	// ErrSilent says that it did not answer, either.
	ErrSilent = errors.New("engine gave no answer")
)

// Patience returns how long a reading may take that is expected to take so long.
func Patience(expected time.Duration) time.Duration { return readFactor*expected + readSlack }

// Read has an engine read a prompt, which is expected to take as long as that.
// What the engine says of itself is returned with ErrNotRead, too. Other errors
// are of package caller.
func Read(ctx context.Context, targets Targets, address string, c *caller.Call, expected time.Duration) (*radishspoke.Handle, platform.Answering, error) {
	ctx, cancel := context.WithTimeout(ctx, Patience(expected))
	defer cancel()
	r, err := targets.Do(ctx, address, c)
	if err != nil {
		return nil, platform.Answering{}, err
	}
	defer r.Close()
	a := platform.DecodeAnswer(r.Status, r.Header)
	if r.Status != http.StatusOK {
		return nil, a, fmt.Errorf("%w: engine %s answered with status %d", ErrNotRead, address, r.Status)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, r, mostHandle))
	if err != nil {
		return nil, a, fmt.Errorf("%w: read the answer of engine %s: %w", ErrNotRead, address, err)
	}
	h, err := platform.DecodeHandle(data, address)
	if err != nil {
		return nil, a, fmt.Errorf("%w: %w", ErrNotRead, err)
	}
	return &h, a, nil
}

// Free gives back the KV cache of a prompt that nobody will take. It does not
// wait for the engine.
func Free(targets Targets, h *radishspoke.Handle, log *slog.Logger) {
	if h == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		a, err := targets.Do(ctx, h.Address, &caller.Call{
			Method: http.MethodDelete, Target: platform.HandlePath(*h), Host: h.Address, Header: http.Header{},
		})
		if err != nil {
			log.Debug("handle not freed", "engine", h.Address, "error", err)
			return
		}
		defer a.Close()
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, a, mostHandle)); err != nil {
			log.Debug("handle perhaps not freed", "engine", h.Address, "error", err)
		}
	}()
}
