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

// Values of radishspoke.Member.Kind.
const (
	EntryKind   = "entry"
	SidecarKind = "sidecar"
)

const (
	minInterval = 2 * time.Second // lower bound of the mean time between two reads of the list by one process
	readRate    = 40              // maximum rate of reads of the list by all processes, per second
)

// Tracker holds the list of members. Use New to create one.
type Tracker struct {
	hosts radishspoke.MemberList
	log   *slog.Logger

	mu      sync.Mutex
	members []radishspoke.Member
}

// New returns a Tracker with an empty list.
func New(h radishspoke.MemberList, log *slog.Logger) *Tracker { return &Tracker{hosts: h, log: log} }

// Run reads the list at intervals until ctx ends.
func (t *Tracker) Run(ctx context.Context, random *rand.Rand) {
	for {
		if err := t.Poll(ctx); err != nil && ctx.Err() == nil {
			t.log.Warn("list of members could not be read", "error", err)
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

// interval returns the time until the next read. It is drawn uniformly from 0.5 to
// 1.5 times the mean interval.
func (t *Tracker) interval(random *rand.Rand) time.Duration {
	t.mu.Lock()
	n := len(t.members)
	t.mu.Unlock()
	mean := max(minInterval, time.Duration(n)*time.Second/readRate)
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

// Entries returns the entries on the list that are not leaving, in the order of
// the list.
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

// Members returns a copy of the list.
func (t *Tracker) Members() []radishspoke.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]radishspoke.Member(nil), t.members...)
}

// Rank returns the members sorted by decreasing rendezvous weight for a key. All
// processes with the same members get the same order. A member that joins or leaves
// changes the first place only for the keys at which it is itself first.
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
