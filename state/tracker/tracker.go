package tracker

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// Kinds of member.
const (
	EntryKind   = "entry"
	SidecarKind = "sidecar"
)

const (
	leastInterval = 2 * time.Second
	readRate      = 40 // reads of the list per second, by all processes
)

// Tracker holds the list of members. Make it with New.
type Tracker struct {
	hosts radishspoke.Hosts
	log   *slog.Logger

	mu      sync.Mutex
	members []radishspoke.Member
}

// New returns a Tracker with an empty list.
func New(h radishspoke.Hosts, log *slog.Logger) *Tracker { return &Tracker{hosts: h, log: log} }

// Run reads the list until ctx ends.
func (t *Tracker) Run(ctx context.Context, random *rand.Rand) {
	for {
		if err := t.Poll(ctx); err != nil && ctx.Err() == nil {
			t.log.Warn("list of members not read", "error", err)
		}
		timer := time.NewTimer(t.interval(random))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// interval returns the time to the next read, drawn from half to one and a
// half times the mean.
func (t *Tracker) interval(random *rand.Rand) time.Duration {
	t.mu.Lock()
	n := len(t.members)
	t.mu.Unlock()
	mean := max(leastInterval, time.Duration(n)*time.Second/readRate)
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// Poll reads the list once.
func (t *Tracker) Poll(ctx context.Context) error {
	m, err := t.hosts.Members(ctx)
	if err != nil {
		return fmt.Errorf("poll members: %w", err)
	}
	t.mu.Lock()
	t.members = m
	t.mu.Unlock()
	return nil
}

// Entries returns the entries on the list, but for those that are leaving, in
// name order.
func (t *Tracker) Entries() []radishspoke.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []radishspoke.Member
	for _, m := range t.members {
		if m.Kind == EntryKind && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}

// Members returns the whole list.
func (t *Tracker) Members() []radishspoke.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]radishspoke.Member(nil), t.members...)
}

// Rank orders members by their rendezvous weight for a key, best first. Every
// process that sees the same members gets the same order, and a member that
// joins or leaves moves only its own keys.
func Rank(key string, members []radishspoke.Member) []radishspoke.Member {
	out := append([]radishspoke.Member(nil), members...)
	weight := make(map[string]uint64, len(out))
	for _, m := range out {
		weight[m.Name] = Weight(key, m.Name)
	}
	sort.Slice(out, func(i, j int) bool { return weight[out[i].Name] > weight[out[j].Name] })
	return out
}

// Weight returns the rendezvous weight of a name for a key (Thaler and
// Ravishankar, 1998).
func Weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
