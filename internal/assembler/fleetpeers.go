package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"radishspoke/state/follower"
	"radishspoke/transport/caller"
)

// knownPath is where entries tell each other what they know of the platform's
// lists, on the TCP port of the same number as that for datagrams.
const knownPath = "/known"

// mostKnown is the longest answer, in bytes: a configuration with many routes.
const mostKnown = 16 << 20

// serveKnown tells another entry what this one knows.
func (e *FleetEntry) serveKnown(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	version, err := strconv.ParseInt(q.Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: "+err.Error(), http.StatusBadRequest)
		return
	}
	digest, err := strconv.ParseUint(q.Get("digest"), 10, 64)
	if err != nil {
		http.Error(w, "digest: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.follower.Known(version, digest)); err != nil {
		e.env.Log.Debug("what is known was not told", "to", r.RemoteAddr, "error", err)
	}
}

// Ask implements follower.Peers.
func (e *FleetEntry) Ask(ctx context.Context, version int64, digest uint64) (follower.Known, bool, error) {
	var watching []string
	for _, p := range e.gossiper.Peers() {
		if p.Watching {
			watching = append(watching, p.Address)
		}
	}
	if len(watching) == 0 {
		return follower.Known{}, false, nil // nobody reaches the platform
	}
	address := watching[e.random.IntN(len(watching))]
	ctx, cancel := context.WithTimeout(ctx, freshTime)
	defer cancel()
	q := url.Values{"version": {strconv.FormatInt(version, 10)}, "digest": {strconv.FormatUint(digest, 10)}}
	a, err := e.sidecars.Do(ctx, address, &caller.Call{Method: http.MethodGet, Target: knownPath + "?" + q.Encode(), Host: address, Header: http.Header{}})
	if err != nil {
		return follower.Known{}, false, fmt.Errorf("ask entry %s: %w", address, err)
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		return follower.Known{}, false, fmt.Errorf("ask entry %s: status %d", address, a.Status)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, a, mostKnown))
	if err != nil {
		return follower.Known{}, false, fmt.Errorf("ask entry %s: %w", address, err)
	}
	var k follower.Known
	if err := json.Unmarshal(data, &k); err != nil {
		return follower.Known{}, false, fmt.Errorf("ask entry %s: %w", address, err)
	}
	return k, true, nil
}
