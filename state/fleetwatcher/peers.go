package fleetwatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Snapshot is the configuration and the list of targets that one process sends
// to another.
type Snapshot struct {
	// Table is the newest configuration known, or nil if the requester has it.
	// Version is the version of that configuration, and ProofAge the time since
	// it was last known to be the newest.
	Table    *radishspoke.RoutingTable
	Version  int64
	ProofAge time.Duration

	// At is a position of the store through which Version is the newest one, or zero if
	// it is not known. The requester can wait for the next one from there on, without
	// reading this one from the store.
	At radishspoke.StorePosition

	// Evacuations is the newest list of evacuated zones, or nil if it is not known. It is not
	// older than At. A Watcher neither sets nor reads it.
	Evacuations *radishspoke.Evacuations `json:",omitempty"`

	// Instances holds the list of targets, or nil if the requester's list has the
	// same Digest. ListAge is the time since the list was read.
	Instances []radishspoke.Instance
	Digest    uint64
	ListAge   time.Duration

	// ServedAge is the time for which the platform has served the list without an
	// outage. Missing holds the targets that are missing from the list since an
	// outage and are kept.
	ServedAge time.Duration
	Missing   []MissingTarget
}

// MissingTarget is a target that is missing from the list since an outage. ListedAge is the
// time since it was last listed.
type MissingTarget struct {
	Instance  radishspoke.Instance
	ListedAge time.Duration
}

// Peers gives access to other processes that follow the same source.
type Peers interface {
	// PeerStates returns the states of the other processes.
	PeerStates() []PeerState

	// FetchSnapshot requests a Snapshot from the process at an address. The reply
	// leaves out a configuration that is not newer than version, and a list of targets
	// that has the given digest. FetchSnapshot calls begun when the reply begins to
	// arrive, and returns an error if it stalls after that.
	FetchSnapshot(ctx context.Context, address string, version int64, digest uint64, begun func()) (Snapshot, error)
}

const (
	// peerInterval is the time between two requests to peers while the platform is
	// not reached. It equals the default interval between two reads of the list of
	// targets from the platform.
	peerInterval = defaultInterval

	// behindDelay is the time for which a process waits for the platform to send a
	// configuration that a peer has reported, before it requests it from a peer. The
	// platform sends a change to all processes within a few round trips.
	behindDelay = 100 * time.Millisecond

	// hedgeDelay is the time after which another peer is asked for a snapshot while
	// those before have not begun to reply, as a peer that stands still accepts
	// connections. The peers that are asked have until peerTimeout to begin.
	hedgeDelay  = 300 * time.Millisecond
	peerTimeout = 2500 * time.Millisecond
)

// Snapshot returns the configuration and the list of targets of this process, for
// a requester that has the configuration with the given version and the list of
// targets with the given digest.
func (w *Watcher) Snapshot(version int64, digest uint64) Snapshot {
	w.mu.RLock()
	defer w.mu.RUnlock()
	now := w.clock.Now()
	s := Snapshot{ProofAge: now - w.proof, Digest: w.digest, ListAge: now - max(w.digestAt, w.peerReadAt)}
	if w.served.since != never {
		s.ServedAge = now - w.served.since
	}
	if w.table != nil {
		s.Version = w.table.Version
		if s.Version > version {
			s.Table = w.table
		}
		if w.storedVersion == s.Version {
			s.At = w.storedAt
		}
	}
	if w.digest != digest {
		s.Instances = make([]radishspoke.Instance, 0, len(w.instances))
	}
	for id, i := range w.instances {
		if listed, ok := w.missing[id]; ok {
			s.Missing = append(s.Missing, MissingTarget{Instance: i, ListedAge: now - listed})
		} else if w.digest != digest {
			s.Instances = append(s.Instances, i)
		}
	}
	return s
}

// RunPeers requests snapshots from peers while this process does not reach the
// platform, and when a peer has reported a newer configuration. The peers to ask are
// drawn from random. It returns when ctx ends.
func (w *Watcher) RunPeers(ctx context.Context, p Peers, random *rand.Rand) {
	lost := false
	for w.awaitPeers(ctx) {
		version, digest := int64(0), uint64(0)
		if t := w.Table(); t != nil {
			version = t.Version
		}
		digest, _ = w.Digest()
		sent := w.clock.Now()
		s, ok, err := fetchSnapshot(ctx, p, random, version, digest)
		if err != nil && !lost && ctx.Err() == nil {
			w.log.Warn("request to a peer for a snapshot failed", "error", err)
		}
		lost = err != nil
		if err == nil && ok {
			w.handlePeerReply(s, sent)
		}
	}
}

// choosePeer returns the address of a peer that has not been asked for a snapshot: one that has
// reported a newer configuration or, if there is none, one that reaches the platform.
func choosePeer(peers []PeerState, version int64, asked map[string]bool, random *rand.Rand) (address string, ok bool) {
	var newer, watching []string
	for _, p := range peers {
		switch {
		case asked[p.Address]:
		case p.Live && p.Configuration > version:
			newer = append(newer, p.Address)
		case p.Watching:
			watching = append(watching, p.Address)
		}
	}
	for _, list := range [][]string{newer, watching} {
		if len(list) > 0 {
			return list[random.IntN(len(list))], true
		}
	}
	return "", false
}

// fetchSnapshot requests a snapshot from the first peer that replies. Another peer is asked
// while no reply has begun, or after one has failed. The result ok is false if there are no
// peers to ask.
func fetchSnapshot(ctx context.Context, p Peers, random *rand.Rand, version int64, digest uint64) (s Snapshot, ok bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		snapshot Snapshot
		err      error
	}
	replies := make(chan reply) // those that are not waited for end with ctx
	begun := make(chan struct{}, 1)
	asked, pending := map[string]bool{}, 0
	ask := func() {
		address, ok := choosePeer(p.PeerStates(), version, asked, random)
		if !ok {
			return
		}
		asked[address] = true
		pending++
		go func() {
			s, err := p.FetchSnapshot(ctx, address, version, digest, func() {
				select {
				case begun <- struct{}{}:
				default:
				}
			})
			select {
			case replies <- reply{s, err}:
			case <-ctx.Done():
			}
		}()
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	timeout := time.NewTimer(peerTimeout)
	defer timeout.Stop()
	for ask(); pending > 0; {
		select {
		case r := <-replies:
			if r.err == nil {
				return r.snapshot, true, nil
			}
			err = r.err
			pending--
			ask()
		case <-begun: // the reply ends by itself
			hedge.Stop()
			timeout.Stop()
		case <-hedge.C:
			ask()
		case <-timeout.C:
			return Snapshot{}, false, fmt.Errorf("wait for peers: %w", context.DeadlineExceeded)
		case <-ctx.Done():
			return Snapshot{}, false, fmt.Errorf("wait for peers: %w", ctx.Err())
		}
	}
	return Snapshot{}, false, err
}

// awaitPeers returns true when a snapshot of a peer is needed, and false when ctx ends.
func (w *Watcher) awaitPeers(ctx context.Context) bool {
	t := time.NewTimer(peerInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			if w.disconnected() {
				return true
			}
			t.Reset(peerInterval)
		case <-w.behind:
			if !ticker.Sleep(ctx, behindDelay) {
				return false
			}
			if w.isBehind() {
				return true
			}
		}
	}
}

// isBehind reports whether a peer has reported a newer configuration than the one in
// force here.
func (w *Watcher) isBehind() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.table == nil || w.table.Version < w.reported
}

// disconnected reports whether the last read of the configuration or of the list
// of targets failed.
func (w *Watcher) disconnected() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.listFailed || w.configFailed
}

// handlePeerReply handles the reply of a peer to a request that was sent at the
// time sent. The ages in the reply are subtracted from sent, and not from the time
// of the reply, so that a delay never makes the lists look more recent.
func (w *Watcher) handlePeerReply(s Snapshot, sent time.Duration) {
	old := w.Table()
	w.UpdateConfiguration(s.Table, s.Version, sent-max(0, s.ProofAge))
	w.recordStored(s.Version, s.At)
	if s.Table != nil && (old == nil || s.Table.Version > old.Version) {
		signal(w.renew) // the wait goes on from a later position
	}
	read := sent - max(0, s.ListAge)
	w.notifying.Lock()
	defer w.notifying.Unlock()
	w.mu.Lock()
	if s.Digest == 0 || read <= w.listedAt {
		w.mu.Unlock()
		return
	}
	// readAt does not change, as it orders the reads of this process itself.
	w.peerReadAt = read
	w.recordServed(period{min(read, w.clock.Now()-max(0, s.ServedAge)), read})
	changed := false
	for _, m := range s.Missing {
		if _, ok := w.instances[m.Instance.ID]; !ok {
			w.instances[m.Instance.ID], w.missing[m.Instance.ID] = m.Instance, sent-max(0, m.ListedAge)
			changed = true
		}
	}
	switch {
	case s.Digest == w.digest:
		w.confirm(read)
		changed = w.dropMissing() || changed
	case s.Instances != nil:
		next := make(map[string]radishspoke.Instance, len(s.Instances))
		for _, i := range s.Instances {
			next[i.ID] = i
		}
		w.recordComplete(read)
		w.setList(next, s.Digest, read)
		w.digestAt = read
		changed = true
		w.log.Info("targets told by a peer", "targets", len(s.Instances), "age", w.clock.Now()-read)
	}
	out := w.list()
	w.mu.Unlock()
	if changed {
		w.listed(out)
	}
}
