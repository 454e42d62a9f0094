package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

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

const (
	// snapshotPeers is the maximum number of peers that are asked for one snapshot,
	// and snapshotHedge the time after which the next one is asked while those before
	// have not replied: a peer that stands still accepts connections.
	snapshotPeers = 3
	snapshotHedge = 300 * time.Millisecond
)

// FetchSnapshot requests a snapshot from random peers that have reported a newer
// configuration, or else from those that watch the platform. It returns false if there
// are none. The arguments version and digest identify the configuration and the list of
// targets that this entry has. FetchSnapshot implements fleetwatcher.Peers.
func (e *FleetEntry) FetchSnapshot(ctx context.Context, version int64, digest uint64) (fleetwatcher.Snapshot, bool, error) {
	addresses := e.snapshotAddresses(version)
	if len(addresses) == 0 {
		return fleetwatcher.Snapshot{}, false, nil // no peer reaches the platform
	}
	ctx, cancel := context.WithTimeout(ctx, maxProofAge)
	defer cancel()
	type reply struct {
		snapshot fleetwatcher.Snapshot
		err      error
	}
	replies := make(chan reply, len(addresses)) // holds the replies that are not waited for
	ask := func(address string) {
		s, err := e.fetchSnapshotFrom(ctx, address, version, digest)
		replies <- reply{s, err}
	}
	hedge := time.NewTimer(snapshotHedge)
	defer hedge.Stop()
	go ask(addresses[0])
	asked, pending := 1, 1
	for {
		var r reply
		select {
		case r = <-replies:
			if r.err == nil {
				return r.snapshot, true, nil
			}
			pending--
		case <-hedge.C:
			hedge.Reset(snapshotHedge)
		}
		if asked < len(addresses) {
			go ask(addresses[asked])
			asked++
			pending++
		} else if pending == 0 {
			return fleetwatcher.Snapshot{}, false, r.err
		}
	}
}

// snapshotAddresses returns the addresses of up to snapshotPeers peers that are asked
// for a snapshot, in the order in which they are asked.
func (e *FleetEntry) snapshotAddresses(version int64) []string {
	var newer, watching []string
	for _, p := range e.gossiper.Peers() {
		switch {
		case p.Live && p.Configuration > version:
			newer = append(newer, p.Address)
		case p.Watching:
			watching = append(watching, p.Address)
		}
	}
	for _, list := range [][]string{newer, watching} {
		e.peerRandom.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	out := append(newer, watching...)
	return out[:min(len(out), snapshotPeers)]
}

// fetchSnapshotFrom requests a snapshot from one peer.
func (e *FleetEntry) fetchSnapshotFrom(ctx context.Context, address string, version int64, digest uint64) (fleetwatcher.Snapshot, error) {
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
