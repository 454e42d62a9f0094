package gossiper

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// RunDiscovery announces this process and reads the rows of the others until
// ctx ends.
func (g *Gossiper) RunDiscovery(ctx context.Context) {
	for ctx.Err() == nil {
		err := g.discover(ctx)
		if err != nil && ctx.Err() == nil {
			g.log.Warn("peers not discovered", "error", err)
		}
		pause := g.settings.Discover
		if err != nil || g.clock.Now()-g.joined < startTime {
			pause = firstDiscovery
		}
		g.await(ctx, pause)
	}
}

// await returns after a pause, or when an unknown peer was heard.
func (g *Gossiper) await(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.unknown:
		ticker.Sleep(ctx, firstDiscovery) // others may be starting, too
	}
}

// discover takes the rows of the others, and announces this process unless its
// row says so.
func (g *Gossiper) discover(ctx context.Context) error {
	rows, err := g.table.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("list peers: %w", err)
	}
	var mine row
	version := int64(0)
	var dead []radishspoke.Row
	g.mu.Lock()
	now := g.clock.Now()
	for _, r := range rows {
		name := strings.TrimPrefix(r.Key, prefix)
		var content row
		if err := json.Unmarshal(r.Value, &content); err != nil {
			g.log.Error("peer's row unreadable", "peer", name, "error", err)
			continue
		}
		if name == g.settings.Process {
			mine, version = content, r.Version
			continue
		}
		if content.Left {
			delete(g.peers, name)
			continue
		}
		p, ok := g.peers[name]
		if !ok || p.incarnation < content.Incarnation {
			g.log.Info("peer discovered", "peer", name, "address", content.Address, "incarnation", content.Incarnation)
			p = &peer{incarnation: content.Incarnation, heard: now}
			g.peers[name] = p
		}
		p.address, p.version = content.Address, r.Version
		if now-p.heard > g.settings.Forget {
			dead = append(dead, r)
		}
	}
	g.mu.Unlock()
	for _, r := range dead {
		if err := g.retire(ctx, r); err != nil {
			return err
		}
	}
	if g.announced(mine) {
		return nil
	}
	mine = row{Address: g.settings.Address, Incarnation: mine.Incarnation + 1}
	if err := g.write(ctx, prefix+g.settings.Process, version, mine); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnation = mine.Incarnation
	return nil
}

// announced tells whether a row is of this lifetime of the process.
func (g *Gossiper) announced(r row) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation > 0 && r.Incarnation == g.incarnation && !r.Left
}

// retire marks the row of a peer that has been silent for long.
func (g *Gossiper) retire(ctx context.Context, r radishspoke.Row) error {
	var content row
	if err := json.Unmarshal(r.Value, &content); err != nil {
		return fmt.Errorf("decode %s: %w", r.Key, err)
	}
	content.Left = true
	err := g.write(ctx, r.Key, r.Version, content)
	if errors.Is(err, radishspoke.ErrConflict) {
		return nil // it has come back, or another process was faster
	}
	if err == nil {
		g.log.Info("peer gone", "peer", strings.TrimPrefix(r.Key, prefix))
	}
	return err
}

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
