package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"radishspoke"
	"radishspoke/state/fleetwatcher"
	"radishspoke/transport"
	"radishspoke/transport/httpclient"
)

// snapshotPath is the HTTP path at which an entry serves a snapshot of the
// platform's lists to other entries. The TCP port has the same number as the UDP
// port for gossip.
const snapshotPath = "/known"

// maxSnapshotBytes is the maximum length of a compressed snapshot in bytes. It leaves room
// for a configuration with many routes.
const maxSnapshotBytes = 16 << 20

// maxSnapshotJSONBytes is the maximum length of a snapshot in bytes once it is decompressed.
const maxSnapshotJSONBytes = 128 << 20

// snapshotStall is the time between two bytes of a snapshot after which its reader gives up.
const snapshotStall = 1500 * time.Millisecond

// serveSnapshot responds to another entry with the configuration and the list of
// targets that this entry has, so far as they differ from those in the query. The
// response is compressed if the other entry accepts that.
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
	s := e.watcher.Snapshot(version, digest)
	if state, ok := e.evacuator.State(); ok {
		s.Evacuations = &state
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Header.Get("Accept-Encoding") != gzipEncoding {
		if err := json.NewEncoder(w).Encode(s); err != nil {
			e.env.Log.Debug("snapshot not sent", "to", r.RemoteAddr, "error", err)
		}
		return
	}
	data, err := e.snapshots.encode(s)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", gzipEncoding)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := w.Write(data); err != nil {
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
func (e *FleetEntry) FetchSnapshot(ctx context.Context, address string, version int64, digest uint64, begun func()) (fleetwatcher.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := url.Values{"version": {strconv.FormatInt(version, 10)}, "digest": {strconv.FormatUint(digest, 10)}}
	header := http.Header{"Accept-Encoding": {gzipEncoding}}
	resp, err := e.sidecarClient.Do(ctx, address, &httpclient.Call{Method: http.MethodGet, RequestURI: snapshotPath + "?" + q.Encode(), Host: address, Header: header})
	if err != nil {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: %w", address, err)
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: status %d", address, resp.Status)
	}
	begun()
	data, err := transport.ReadAll(resp, transport.ReadOptions{Most: maxSnapshotBytes, Idle: snapshotStall}, cancel)
	if err != nil {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: %w", address, err)
	}
	s, err := decodeSnapshot(data, resp.Header.Get("Content-Encoding") == gzipEncoding, snapshotLimit(e.settings.Memory))
	if err != nil {
		return fleetwatcher.Snapshot{}, fmt.Errorf("ask entry %s: %w", address, err)
	}
	if s.Evacuations == nil {
		s.At = radishspoke.StorePosition{} // the wait from there on would miss evacuations
	} else {
		e.evacuator.Merge(*s.Evacuations)
	}
	return s, nil
}
