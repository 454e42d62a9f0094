package fleetwatcher

import (
	"context"
	"time"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Snapshot is the state of the platform's lists that one process sends to
// another.
type Snapshot struct {
	// Table is the newest configuration known, or nil if the requester has it.
	// Version is the version of that configuration, and ProofAge the time since
	// it was last known to be the newest.
	Table    *radishspoke.RoutingTable
	Version  int64
	ProofAge time.Duration

	// Instances holds the targets, or nil if the requester's list has the same
	// Digest. ListAge is the time since the list was read.
	Instances []radishspoke.Instance
	Digest    uint64
	ListAge   time.Duration
}

// Peers gives access to other processes that follow the same source.
type Peers interface {
	// Ask requests the lists from a process that reaches the platform. The
	// reply leaves out a configuration that is not newer than version and a
	// list of targets with the given digest. Ask returns false if no process is
	// known to reach the platform.
	Ask(ctx context.Context, version int64, digest uint64) (k Snapshot, ok bool, err error)
}

// peerInterval is the time between two requests to peers while the platform is
// not reached. It equals the interval at which the platform would be read.
const peerInterval = defaultInterval

// Snapshot returns the lists that this process has, for a requester that has
// the configuration with the given version and the list of targets with the
// given digest.
func (f *Watcher) Snapshot(version int64, digest uint64) Snapshot {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	k := Snapshot{ProofAge: now - f.proof, Digest: f.digest, ListAge: now - max(f.readAt, f.peerReadAt)}
	if f.table != nil {
		k.Version = f.table.Version
		if k.Version > version {
			k.Table = f.table
		}
	}
	if f.digest != digest {
		k.Instances = make([]radishspoke.Instance, 0, len(f.instances))
		for _, i := range f.instances {
			k.Instances = append(k.Instances, i)
		}
	}
	return k
}

// RunPeers requests the lists from peers while this process does not reach the
// platform. It returns when ctx ends.
func (f *Watcher) RunPeers(ctx context.Context, p Peers) {
	lost := false
	for ticker.Sleep(ctx, peerInterval) {
		if !f.disconnected() {
			continue
		}
		version, digest := int64(0), uint64(0)
		if t := f.Table(); t != nil {
			version = t.Version
		}
		digest, _ = f.Digest()
		sent := f.clock.Now()
		k, ok, err := p.Ask(ctx, version, digest)
		if err != nil && !lost && ctx.Err() == nil {
			f.log.Warn("request to a peer for the platform's lists failed", "error", err)
		}
		lost = err != nil
		if err == nil && ok {
			f.handlePeerReply(k, sent)
		}
	}
}

// disconnected reports whether the last read of the configuration or of the list
// of targets failed.
func (f *Watcher) disconnected() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.failing || f.configLost
}

// handlePeerReply handles the reply of a peer to a request that was sent at the time
// sent. The ages in the reply are subtracted from sent, so that they are never
// taken for shorter than they are.
func (f *Watcher) handlePeerReply(k Snapshot, sent time.Duration) {
	f.UpdateConfiguration(k.Table, k.Version, sent-k.ProofAge)
	read := sent - k.ListAge
	f.notifying.Lock()
	defer f.notifying.Unlock()
	f.mu.Lock()
	if k.Digest == 0 || read <= max(f.readAt, f.peerReadAt) {
		f.mu.Unlock()
		return
	}
	// readAt does not change: others rely on it as the time of this process's
	// own reading.
	f.peerReadAt = read
	if k.Digest == f.digest || k.Instances == nil {
		f.mu.Unlock()
		return
	}
	f.digest = k.Digest
	next := make(map[string]radishspoke.Instance, len(k.Instances))
	for _, i := range k.Instances {
		next[i.ID] = i
		f.seen[i.ID] = max(f.seen[i.ID], read)
	}
	for id := range f.instances {
		if _, ok := next[id]; !ok {
			delete(f.seen, id)
		}
	}
	f.instances = next
	f.mu.Unlock()
	f.log.Info("targets told by a peer", "targets", len(k.Instances), "age", f.clock.Now()-read)
	f.listed(k.Instances)
}
