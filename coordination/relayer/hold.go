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

// holdTimeout bounds a call that reserves capacity. Engines decide at once; a prompt should not
// wait for one that is silent.
const holdTimeout = 200 * time.Millisecond

// ErrHoldRefused is returned by TakeHold if an engine has no capacity to reserve.
var ErrHoldRefused = errors.New("engine reserves no capacity")

// TakeHold has an engine reserve capacity for a number of tokens for the given time. It returns
// the id of the reservation and the headers of the engine's answer, also if the error is
// ErrHoldRefused. After other errors it is not known whether the engine has reserved any.
func TakeHold(ctx context.Context, targets Targets, engine radishspoke.Instance, tokens int, lifetime time.Duration) (string, platform.AnswerHeader, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	body, h, err := platform.EncodeHoldRequest(platform.HoldRequest{Tokens: tokens, Lifetime: lifetime, Instance: engine.ID})
	if err != nil {
		return "", platform.AnswerHeader{}, fmt.Errorf("take hold: %w", err)
	}
	r, err := targets.Do(ctx, engine.Address, &httpclient.Call{
		Method: http.MethodPost, RequestURI: platform.HoldTakePath, Host: engine.Address, Header: h, Body: body, Instance: engine.ID,
	})
	if err != nil {
		return "", platform.AnswerHeader{}, fmt.Errorf("take hold: %w", err)
	}
	defer r.Close()
	a := platform.DecodeAnswer(r.Status, r.Header)
	data, err := io.ReadAll(http.MaxBytesReader(nil, r, maxHandleBytes))
	switch {
	case r.Status == http.StatusServiceUnavailable:
		return "", a, fmt.Errorf("%w: engine %s answered with status %d", ErrHoldRefused, engine.Address, r.Status)
	case r.Status != http.StatusOK:
		return "", a, fmt.Errorf("take hold: engine %s answered with status %d", engine.Address, r.Status)
	case err != nil:
		return "", a, fmt.Errorf("take hold: read the answer of engine %s: %w", engine.Address, err)
	}
	id, err := platform.DecodeHold(data)
	if err != nil {
		return "", a, fmt.Errorf("take hold: engine %s: %w", engine.Address, err)
	}
	return id, a, nil
}

// DropHold releases a reservation that will not be used. It returns without waiting for the
// engine.
func DropHold(targets Targets, engine radishspoke.Instance, id string, log *slog.Logger) {
	// Another run of the engine may have given the same id to another request.
	go release(targets, engine.Address, platform.HoldPath(id), platform.InstanceHeader(engine.ID), log)
}

// release sends a call to an engine that releases what it keeps at the given path.
func release(targets Targets, address, path string, h http.Header, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	a, err := targets.Do(ctx, address, &httpclient.Call{Method: http.MethodDelete, RequestURI: path, Host: address, Header: h})
	if err != nil {
		log.Debug("release at an engine failed", "engine", address, "path", path, "error", err)
		return
	}
	defer a.Close()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, a, maxHandleBytes)); err != nil {
		log.Debug("reading the answer to a release failed", "engine", address, "path", path, "error", err)
	}
}
