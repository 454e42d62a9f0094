package follower_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke/state/follower"
)

// TestNeeded cuts the processes that watch off from the platform, but not from
// the others: the next ones watch in their place.
func TestNeeded(t *testing.T) {
	c := qt.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	watching := func(cut string) string {
		is := map[string]bool{}
		for range names { // as many rounds as news needs at most
			next := map[string]bool{}
			for _, me := range names {
				var others []follower.Other
				for _, o := range names {
					if o != me {
						others = append(others, follower.Other{Process: o, Watching: is[o]})
					}
				}
				cutOff := len(cut) > 0 && (cut[0] == me[0] || len(cut) > 1 && cut[1] == me[0])
				next[me] = follower.Needed(me, others) && !cutOff
			}
			is = next
		}
		out := ""
		for _, n := range names {
			if is[n] {
				out += n
			}
		}
		return out
	}
	c.Assert(watching(""), qt.Equals, "ab")
	c.Assert(watching("a"), qt.Equals, "bc")
	c.Assert(watching("ab"), qt.Equals, "cd")
	c.Assert(follower.Needed("a", nil), qt.IsTrue)
}
