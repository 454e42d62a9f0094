package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"radishspoke/state/fleetwatcher"
	"radishspoke/transport/httpclient"
)

// snapshotPath is the HTTP path at which an entry serves a snapshot of the
// platform's lists to other entries. The TCP port has the same number as the UDP
// port for gossip.
const snapshotPath = "/known"

// maxSnapshotBytes is the maximum length of a snapshot in bytes. It leaves room
// for a configuration with many routes.
const maxSnapshotBytes = 16 << 20

// serveSnapshot responds to another entry with the configuration and the list of
// targets that this entry has, so far as they differ from those in the query.
func (e *FleetEntry) serveSnapshot(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewEncoder(w).Encode(e.watcher.Snapshot(version, digest)); err != nil {
		e.env.Log.Debug("snapshot not sent", "to", r.RemoteAddr, "error", err)
	}
}

// PeerStates returns the states of the other entries. It implements fleetwatcher.Peers.
func (e *FleetEntry) PeerStates() []fleetwatcher.PeerState {
	list := e.gossiper.Peers()
	out := make([]fleetwatcher.PeerState, len(list))
	for i, p := range list {
		out[i] = fleetwatcher.PeerState{Process: p.Process, Address: p.Address, Live: p.Live, Watching: p.Watching, Configuration: p.Configuration}
	}
	return out
}

// FetchSnapshot requests a snapshot from the entry at an address. The arguments version
// and digest identify the configuration and the list of targets that this entry has. It
// implements fleetwatcher.Peers.
func (e *FleetEntry) FetchSnapshot(ctx context.Context, address string, version int64, digest uint64) (fleetwatcher.Snapshot, error) {
	q := url.Values{"version": {strconv.FormatInt(version, 10)}, "digest": {strconv.FormatUint(digest, 10)}}
	resp, err := e.sidecarClient.Do(ctx, address, &httpclient.Call{Method: http.MethodGet, RequestURI: snapshotPath + "?" + q.Encode(), Host: address, Header: http.Header{}})
	if err != nil {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: %w", address, err)
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: status %d", address, resp.Status)
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp, maxSnapshotBytes))
	if err != nil {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: %w", address, err)
	}
	var s fleetwatcher.Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: %w", address, err)
	}
	return s, nil
}
