package fleetwatcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/state/fleetwatcher"
)

// TestMustWatch disconnects the watching processes from the platform, but not from
// the other processes. The next ones by name must watch instead.
func TestMustWatch(t *testing.T) {
	c := qt.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	// watching returns the names of the processes that watch once the state is
	// stable, if those named in disconnected cannot reach the platform.
	watching := func(disconnected string) string {
		isWatching := map[string]bool{}
		for range names { // at most this many rounds until the state is stable
			next := map[string]bool{}
			for _, own := range names {
				var others []fleetwatcher.PeerState
				for _, o := range names {
					if o != own {
						others = append(others, fleetwatcher.PeerState{Process: o, Watching: isWatching[o]})
					}
				}
				failed := len(disconnected) > 0 && (disconnected[0] == own[0] || len(disconnected) > 1 && disconnected[1] == own[0])
				next[own] = fleetwatcher.MustWatch(own, others) && !failed
			}
			isWatching = next
		}
		out := ""
		for _, n := range names {
			if isWatching[n] {
				out += n
			}
		}
		return out
	}
	c.Assert(watching(""), qt.Equals, "ab")
	c.Assert(watching("a"), qt.Equals, "bc")
	c.Assert(watching("ab"), qt.Equals, "cd")
	c.Assert(fleetwatcher.MustWatch("a", nil), qt.IsTrue)
}
