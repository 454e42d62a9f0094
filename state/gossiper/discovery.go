package gossiper

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// RunDiscovery writes the row of this process and reads those of the others at
// intervals until ctx ends.
func (g *Gossiper) RunDiscovery(ctx context.Context) {
	for ctx.Err() == nil {
		ended := g.table.History().Ended
		err := g.discover(ctx)
		if err != nil && ctx.Err() == nil {
			g.log.Warn("peer discovery failed", "error", err)
		}
		pause := g.settings.DiscoveryInterval
		if err != nil || g.clock.Now()-g.created < startPeriod {
			pause = startInterval
		}
		g.await(ctx, pause, ended)
	}
}

// await returns after pause, startInterval after a datagram from an unknown peer, when
// the era of the store has ended, also if only a peer has learned that, or when ctx ends.
func (g *Gossiper) await(ctx context.Context, pause time.Duration, ended <-chan struct{}) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-ended:
	case <-g.laterEra:
	case <-g.unknownPeer:
		ticker.Sleep(ctx, startInterval) // other peers may be starting as well
	}
}

// discover reads the rows of all entries once and marks those of silent peers as
// left. It writes the row of this process if that has not been written since the start,
// was marked as left, or is older than this process because the store has come back from
// an older copy.
func (g *Gossiper) discover(ctx context.Context) error {
	sent := g.clock.Now()
	rows, at, err := radishspoke.ListAt(ctx, g.table, prefix)
	if err != nil {
		return fmt.Errorf("list peers: %w", err)
	}
	var own row
	version := at.Absent()
	var silent []radishspoke.Row
	g.mu.Lock()
	now := g.clock.Now()
	g.readAt = sent
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		name := strings.TrimPrefix(r.Key, prefix)
		var content row
		if err := decodeRow(r.Value, &content); err != nil {
			g.log.Error("peer's row cannot be decoded", "peer", name, "error", err)
			continue
		}
		if name == g.settings.Process {
			own, version = content, r.Version
			continue
		}
		listed[name] = true
		p, ok := g.peers[name]
		if r.Outdated && ok && now-p.receivedAt <= g.settings.ForgetAfter {
			continue // what the peer says itself is newer
		}
		if content.Left {
			// Entries that were cut off together hear each other when they read the rows
			// again, before each has written its own.
			if !ok || !p.received || now-p.receivedAt >= g.liveTimeout(p) {
				delete(g.peers, name)
			}
			continue
		}
		if !ok || p.incarnation < content.Incarnation {
			g.log.Info("peer discovered", "peer", name, "address", content.Address, "incarnation", content.Incarnation)
			p = &peer{incarnation: content.Incarnation, receivedAt: now}
			g.peers[name] = p
		}
		p.address, p.version, p.unread = content.Address, r.Version, false
		if now-p.receivedAt > g.settings.ForgetAfter {
			silent = append(silent, r)
		}
	}
	for name, p := range g.peers {
		if p.unread && !listed[name] {
			delete(g.peers, name)
		}
	}
	g.mu.Unlock()
	for _, r := range silent {
		if err := g.markLeft(ctx, r); err != nil {
			return err
		}
	}
	if g.announced(own) {
		return nil
	}
	own = row{Address: g.settings.Address, Incarnation: g.nextIncarnation(own, at)}
	if err := g.write(ctx, prefix+g.settings.Process, version, own); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnation = own.Incarnation
	return nil
}

// nextIncarnation returns the incarnation with which this process is announced, where r is its
// row, read at a position. It is the present one if the row is older, as a change would make
// what it has counted count twice. Otherwise it is higher than all that were given out
// before, also by writes that the store has lost.
func (g *Gossiper) nextIncarnation(r row, at radishspoke.StorePosition) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation > r.Incarnation {
		return g.incarnation
	}
	return max(r.Incarnation, uint64(at.Number())) + 1
}

// maxIncarnation bounds the incarnation in a row, which increases with each start.
const maxIncarnation = math.MaxInt64

// decodeRow decodes the value of an entry's row. The error tells why no datagram can be sent
// to the entry.
func decodeRow(value []byte, r *row) error {
	if err := json.Unmarshal(value, r); err != nil {
		return fmt.Errorf("decode row: %w", err)
	}
	if r.Incarnation > maxIncarnation {
		return fmt.Errorf("incarnation is %d", r.Incarnation)
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return fmt.Errorf("address %s is not that of a port of one host", address)
	}
	return nil
}

// announced reports whether r, the row of this process, was written by its
// current incarnation and not marked as left.
func (g *Gossiper) announced(r row) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation > 0 && r.Incarnation == g.incarnation && !r.Left
}

// markLeft marks the row of a peer that has been silent for ForgetAfter.
func (g *Gossiper) markLeft(ctx context.Context, r radishspoke.Row) error {
	var content row
	if err := json.Unmarshal(r.Value, &content); err != nil {
		return fmt.Errorf("decode %s: %w", r.Key, err)
	}
	content.Left = true
	err := g.write(ctx, r.Key, r.Version, content)
	if errors.Is(err, radishspoke.ErrConflict) {
		return nil // the peer has restarted, or another process has marked the row
	}
	if err == nil {
		g.log.Info("silent peer marked as left", "peer", strings.TrimPrefix(r.Key, prefix))
	}
	return err
}

// write writes a row if its version in the table is still the given one.
func (g *Gossiper) write(ctx context.Context, key string, version int64, content row) error {
	data, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	if err := g.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: key, Value: data, Version: version}); err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}
