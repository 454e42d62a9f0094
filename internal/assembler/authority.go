package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/coordination/planner"
	"radishspoke/coordination/voter"
	"radishspoke/internal/breaker"
	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
	"radishspoke/state/tracker"
	"radishspoke/transport/connector"
)

// budgetShards is the number of rights over which the teams' budgets are
// spread.
const budgetShards = 16

func shardOf(team string) string {
	return shardName(tracker.Weight("budget", team) % budgetShards)
}

func shardName(n uint64) string { return fmt.Sprintf("budget-%02d", n) }

func shardNames() []string {
	out := make([]string, budgetShards)
	for i := range out {
		out[i] = shardName(uint64(i))
	}
	return out
}

// rankNames orders entries for a right.
func rankNames(right string, names []string) []string {
	members := make([]radishspoke.Member, len(names))
	for i, n := range names {
		members[i].Name = n
	}
	out := make([]string, 0, len(names))
	for _, m := range tracker.Rank(right, members) {
		out = append(out, m.Name)
	}
	return out
}

// tenure tells whether this entry owns a team's budget.
func (e *Entry) tenure(team string) (id int64, since time.Duration, ok bool) {
	if breaker.Is(breaker.Tenures) {
		return 1, e.env.Clock.Now() - time.Minute, true
	}
	right := shardOf(team)
	id, ok = e.voter.Holds(right)
	return id, e.voter.Since(right), ok
}

func (e *Entry) handleBudget(_ context.Context, q *wire.Budget) (*wire.BudgetReply, error) {
	r := e.owner.Handle(q)
	if !r.Owner {
		r.Holder = e.voter.Holder(shardOf(q.Team))
	}
	return r, nil
}

// askBudget asks the entry that owns a team's budget. Any voter knows it.
func (e *Entry) askBudget(ctx context.Context, q *wire.Budget) (*wire.BudgetReply, error) {
	if _, _, ok := e.tenure(q.Team); ok {
		return e.owner.Handle(q), nil
	}
	shard := shardOf(q.Team)
	tried := map[string]bool{e.settings.Process.Name: true}
	next := e.voter.Holder(shard)
	for _, name := range append([]string{next}, rankNames(shard, e.voter.Set().Members)...) {
		for name != "" && !tried[name] {
			tried[name] = true
			r, err := e.budgetFrom(ctx, name, q)
			if err != nil {
				break
			}
			if r.Owner {
				return r, nil
			}
			name = r.Holder
		}
	}
	return nil, fmt.Errorf("budget of team %s: %w", q.Team, errNoOwner)
}

var errNoOwner = errors.New("no entry owns it now")

// budgetTimeout bounds one question, so that an owner that is gone leaves
// time to ask another.
const budgetTimeout = 500 * time.Millisecond

func (e *Entry) budgetFrom(ctx context.Context, name string, q *wire.Budget) (*wire.BudgetReply, error) {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	return callEntry[wire.BudgetReply](ctx, e, name, budgetMethod, q)
}

// callEntry calls the entry of that name.
func callEntry[P any, MP encoder.Message[P]](ctx context.Context, e *Entry, name, method string, q proto.Message) (MP, error) {
	for _, m := range e.tracker.Members() {
		if m.Name == name {
			return connector.Call[P, MP](ctx, e.pool, m.Address, method, q)
		}
	}
	return nil, fmt.Errorf("call %s: %w", name, radishspoke.ErrNotFound)
}

func (e *Entry) askVote(ctx context.Context, name string, q *wire.Vote) (*wire.VoteReply, error) {
	return callEntry[wire.VoteReply](ctx, e, name, voteMethod, q)
}

func (e *Entry) handleVote(_ context.Context, q *wire.Vote) (*wire.VoteReply, error) {
	return e.voter.Handle(q), nil
}

// The keeper is the entry that changes the set of voters.
const (
	keeperLease    = "keeper"
	votersKey      = "voters"
	keeperInterval = time.Second
)

// leaseCandidates is the number of entries that may take a lease of the store.
const leaseCandidates = 3

// wantedLeases returns the store's leases that this entry may hold, with its
// rank for each.
func (e *Entry) wantedLeases() map[string]int {
	out := map[string]int{}
	if e.leaving.Load() {
		return out
	}
	for _, lease := range []string{keeperLease, reporterLease, plannerLease} {
		for i, m := range tracker.Rank(lease, e.tracker.Entries()) {
			if i < leaseCandidates && m.Name == e.settings.Process.Name {
				out[lease] = i
			}
		}
	}
	return out
}

// The reporter is the entry that reports usage.
const (
	reporterLease  = "reporter"
	reportInterval = 5 * time.Second
)

func (e *Entry) reporterTenure() (int64, bool) { return e.elector.Holds(reporterLease) }

// reportLoop reports closed windows while this entry is the reporter.
func (e *Entry) reportLoop(ctx context.Context) {
	ticks, stop := e.timers.Every(reportInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if _, ok := e.reporterTenure(); !ok {
			continue
		}
		if err := e.reporter.Step(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("usage not reported", "error", err)
		}
	}
}

// readVoters takes the set of voters from the store.
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

// keeperLoop changes the set of voters, one member at a time, while this entry
// is the keeper.
func (e *Entry) keeperLoop(ctx context.Context) {
	ticks, stop := e.timers.Every(keeperInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if _, ok := e.elector.Holds(keeperLease); !ok {
			continue
		}
		if err := e.keepVoters(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("voters not changed", "error", err)
		}
	}
}

func (e *Entry) keepVoters(ctx context.Context) error {
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
	next, change := voter.Next(set, live, e.voterVersions(ctx, set))
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

// voterVersions asks the members of a set which version they use.
func (e *Entry) voterVersions(ctx context.Context, s voter.Set) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	out := map[string]int64{}
	for _, m := range s.Members {
		if m == e.settings.Process.Name {
			out[m] = s.Version
			continue
		}
		if r, err := e.askVote(ctx, m, &wire.Vote{Process: e.settings.Process.Name}); err == nil {
			out[m] = r.SetVersion
		}
	}
	return out
}

// The planner is the entry that orders engines.
const (
	plannerLease = "planner"
	planInterval = 2 * time.Second
)

// planLoop orders engines while this entry is the planner.
func (e *Entry) planLoop(ctx context.Context) {
	ticks, stop := e.timers.Every(planInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if epoch, ok := e.elector.Holds(plannerLease); ok {
			e.plan(ctx, epoch)
		}
	}
}

// plan gives the orders that are due. Each is sent only while the lease still
// holds, and its sidecar refuses it once a newer planner has given one.
func (e *Entry) plan(ctx context.Context, epoch int64) {
	c := e.watcher.Current()
	if c == nil {
		return
	}
	for _, k := range planner.Plan(&c.Inventory, c.Version, epoch, e.dispatcher.Engines()) {
		if now, ok := e.elector.Holds(plannerLease); !ok || now != epoch {
			return
		}
		if err := e.order(ctx, k); err != nil && ctx.Err() == nil {
			e.log.Warn("order not given", "target", k.Target.Name, "error", err)
		}
	}
}

const orderTimeout = time.Second

func (e *Entry) order(ctx context.Context, k planner.Change) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o := k.Order
	r, err := connector.Call[wire.OrderReply](ctx, e.pool, k.Target.Sidecar, orderMethod, &wire.Order{
		Epoch: o.Epoch, Sequence: o.Sequence, Role: string(o.Role), Model: o.Model, Version: o.Version, Adapters: o.Adapters,
	})
	if err != nil {
		return err
	}
	if !r.Accepted {
		return fmt.Errorf("order to %s refused: %s", k.Target.Name, r.Reason)
	}
	return nil
}
