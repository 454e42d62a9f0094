package follower

import (
	"context"
	"time"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Known is what one process tells another of the platform's lists.
type Known struct {
	// Table is the newest configuration known, nil if the asker has it.
	// ProofAge is how long ago the one of Version was the newest for sure.
	Table    *radishspoke.RoutingTable
	Version  int64
	ProofAge time.Duration

	// Instances are the targets, nil if the asker has the list of Digest.
	// ListAge is how long ago it was read.
	Instances []radishspoke.Instance
	Digest    uint64
	ListAge   time.Duration
}

// Peers are other processes that follow the same source.
type Peers interface {
	// Ask asks one that reaches the platform for what is newer than a version
	// and different from a digest. It returns false if there is none.
	Ask(ctx context.Context, version int64, digest uint64) (k Known, ok bool, err error)
}

// peerInterval is the time between two questions to peers while the platform is
// not reached; as often as it would be read.
const peerInterval = defaultInterval

// Known returns what this process knows, for an asker that has the configuration
// of a version and the list of a digest.
func (f *Follower) Known(version int64, digest uint64) Known {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	k := Known{ProofAge: now - f.proof, Digest: f.digest, ListAge: now - max(f.readAt, f.toldAt)}
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

// RunPeers asks peers while this process does not reach the platform, until ctx
// ends.
func (f *Follower) RunPeers(ctx context.Context, p Peers) {
	lost := false
	for ticker.Sleep(ctx, peerInterval) {
		if !f.cutOff() {
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
			f.log.Warn("peer not asked for the platform's lists", "error", err)
		}
		lost = err != nil
		if err == nil && ok {
			f.told(k, sent)
		}
	}
}

// cutOff tells whether the last read of either list failed.
func (f *Follower) cutOff() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.failing || f.unfollowed
}

// told takes what a peer knows. The ages count from the asking on, which makes
// them longer than they are.
func (f *Follower) told(k Known, asked time.Duration) {
	f.Learn(k.Table, k.Version, asked-k.ProofAge)
	read := asked - k.ListAge
	f.telling.Lock()
	defer f.telling.Unlock()
	f.mu.Lock()
	if k.Digest == 0 || read <= max(f.readAt, f.toldAt) {
		f.mu.Unlock()
		return
	}
	f.toldAt = read // others rely on what this process has read itself
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
