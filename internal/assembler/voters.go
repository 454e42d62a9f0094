package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/voter"
	"radishspoke/protocol/wire"
	"radishspoke/state/tracker"
)

// The keeper is the entry that holds keeperLease. It changes the set of voters.
const (
	keeperLease    = "keeper"
	votersKey      = "voters"
	keeperInterval = time.Second
)

// readVoters reads the set of voters from the store and applies it.
func (e *Entry) readVoters(ctx context.Context) error {
	r, err := e.store.Read(ctx, votersKey)
	if errors.Is(err, radishspoke.ErrNotFound) {
		e.voter.SetMembers(voter.Set{})
		return nil
	}
	if err != nil {
		return fmt.Errorf("read voters: %w", err)
	}
	s := voter.Set{Version: r.Version}
	if err := json.Unmarshal(r.Value, &s); err != nil {
		return fmt.Errorf("decode voters: %w", err)
	}
	e.voter.SetMembers(s)
	return nil
}

// updateVoters changes the set of voters by one member, if this entry is the
// keeper and the set differs from the preferred one.
func (e *Entry) updateVoters(ctx context.Context) error {
	if _, ok := e.elector.Holds(keeperLease); !ok {
		return nil
	}
	if err := e.readVoters(ctx); err != nil {
		return err
	}
	if err := e.tracker.Poll(ctx); err != nil {
		return err
	}
	var live []string
	for _, m := range tracker.Rank(votersKey, e.tracker.Entries()) {
		live = append(live, m.Name)
	}
	set := e.voter.Set()
	next, change := voter.NextSet(set, live, e.voterVersions(ctx, set))
	if !change {
		return nil
	}
	b, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode voters: %w", err)
	}
	if err := e.store.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: votersKey, Value: b, Version: set.Version}); err != nil {
		return fmt.Errorf("write voters: %w", err)
	}
	e.log.Info("voters changed", "version", set.Version+1, "members", next.Members)
	return e.readVoters(ctx)
}

// voterVersions returns the version of the set that each of its members uses.
// Members that do not reply are left out.
func (e *Entry) voterVersions(ctx context.Context, s voter.Set) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	out := map[string]int64{}
	for _, m := range s.Members {
		if m == e.settings.Process.Name {
			out[m] = s.Version
			continue
		}
		if r, err := e.requestVote(ctx, m, &wire.Vote{Process: e.settings.Process.Name}); err == nil {
			out[m] = r.SetVersion
		}
	}
	return out
}
