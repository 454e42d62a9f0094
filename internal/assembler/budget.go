package assembler

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/internal/disabler"
	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
	"radishspoke/state/tracker"
	"radishspoke/transport/connector"
)

// budgetShards is the number of rights over which the budgets of the teams are
// distributed. The entry that holds a right owns the budgets of its shard.
const budgetShards = 16

// shardOf returns the name of the right to the budget of a team.
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

// rankNames returns the names of entries in their order of preference for a
// right.
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

// budgetTenure returns the ID and the start of the tenure in which this entry owns
// the budget of a team, and whether it owns it now. The start is a time of the
// clock of the process.
func (e *Entry) budgetTenure(team string) (id int64, since time.Duration, ok bool) {
	if disabler.Disabled(disabler.BudgetOwnership) {
		return 1, e.env.Clock.Now() - time.Minute, true
	}
	right := shardOf(team)
	id, ok = e.voter.Holds(right)
	return id, e.voter.TenureStart(right), ok
}

func (e *Entry) handleBudget(_ context.Context, q *wire.Budget) (*wire.BudgetReply, error) {
	r := e.owner.Handle(q)
	if !r.Owner {
		r.Holder = e.voter.Holder(shardOf(q.Team))
	}
	return r, nil
}

// requestBudget sends a budget request to the entry that owns the budget of the
// team. It first asks the owner that this entry knows, then the voters, which know
// the owner because they granted it the right. A reply from an entry that is not
// the owner may name the owner, which is asked next. The error wraps errNoOwner if
// no entry replies as the owner.
func (e *Entry) requestBudget(ctx context.Context, q *wire.Budget) (*wire.BudgetReply, error) {
	if _, _, ok := e.budgetTenure(q.Team); ok {
		return e.owner.Handle(q), nil
	}
	shard := shardOf(q.Team)
	tried := map[string]bool{e.settings.Process.Name: true}
	holder := e.voter.Holder(shard)
	for _, name := range append([]string{holder}, rankNames(shard, e.voter.Set().Members)...) {
		for name != "" && !tried[name] {
			tried[name] = true
			r, err := e.requestBudgetFrom(ctx, name, q)
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

// budgetTimeout limits a request to one entry, so that time remains to ask
// another if the owner is gone.
const budgetTimeout = 500 * time.Millisecond

func (e *Entry) requestBudgetFrom(ctx context.Context, name string, q *wire.Budget) (*wire.BudgetReply, error) {
	ctx, cancel := context.WithTimeout(ctx, budgetTimeout)
	defer cancel()
	return callEntry[wire.BudgetReply](ctx, e, name, budgetMethod, q)
}

// callEntry calls a method of the entry with the given name. It returns an error
// that wraps radishspoke.ErrNotFound if the entry is not in the list of members.
func callEntry[P any, MP encoder.Message[P]](ctx context.Context, e *Entry, name, method string, q proto.Message) (MP, error) {
	for _, m := range e.tracker.Members() {
		if m.Name == name {
			return connector.Call[P, MP](ctx, e.pool, m.Address, method, q)
		}
	}
	return nil, fmt.Errorf("call %s: %w", name, radishspoke.ErrNotFound)
}

func (e *Entry) requestVote(ctx context.Context, name string, q *wire.Vote) (*wire.VoteReply, error) {
	return callEntry[wire.VoteReply](ctx, e, name, voteMethod, q)
}

func (e *Entry) handleVote(_ context.Context, q *wire.Vote) (*wire.VoteReply, error) {
	return e.voter.Handle(q), nil
}
