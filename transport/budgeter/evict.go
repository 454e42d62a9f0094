package budgeter

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// Bodies that receive less than minProgress within progressTime make no progress.
	minProgress  = 4 << 10 // bytes
	progressTime = 2 * time.Second

	// advantage is the factor by which a body must hold more than the request that needs
	// its memory, if both have the same owner.
	advantage = 2
)

// Connections that wait are kept in lists: idle ones, the oldest first, and those that send a
// head by what they hold, so that the largest are found without a search.
const (
	noList     = -1
	idleList   = 0
	headList   = 1        // of heads that hold less than headStep; each further list has twice that
	headStep   = 32 << 10 // bytes
	lastList   = 12
	numOfLists = lastList + 1
)

// listOfHead returns the list of a connection that sends a head and holds n bytes.
func listOfHead(n int64) int { return min(lastList, headList+bits.Len64(uint64(n/headStep))) }

// victim is a connection whose memory is taken back.
type victim struct {
	*Conn
	reason string
}

// takeBack marks connections as evicted so that n bytes become free for c, and returns them
// and true, or false if there are not enough. The budget must be locked, and the victims be
// passed to end when it is unlocked. A head takes no memory from smaller ones, so that
// ordinary heads are read beside a crowd of long ones.
func (b *Budget) takeBack(c *Conn, n int64) ([]victim, bool) {
	all := b.used + b.promised + n - b.limit(c) - b.pending
	own := c.owner.held + c.owner.promised + n - b.ownerMost - c.owner.pending
	var out []victim
	eligible := func(v *Conn) bool { return v != c && (own > 0 && v.owner == c.owner || own <= 0 && all > 0) }
	take := func(v *Conn, reason string) {
		out = append(out, victim{v, reason})
		all -= v.held
		if v.owner == c.owner {
			own -= v.held
		}
	}
	least := headList
	if c.list >= headList {
		least = listOfHead(c.held + n)
		if least > headList {
			least++ // long heads of a crowd do not replace each other
		}
	}
	for l := lastList; l >= least; l-- {
		for e := b.lists[l].Front(); e != nil && (all > 0 || own > 0); e = e.Next() {
			if v := e.Value.(*Conn); eligible(v) {
				take(v, reasonHead)
			}
		}
	}
	for e := b.lists[idleList].Front(); e != nil && (all > 0 || own > 0); e = e.Next() {
		if v := e.Value.(*Conn); eligible(v) {
			take(v, reasonIdle)
		}
	}
	if all > 0 || own > 0 {
		for _, v := range b.worstBodies(c, n) {
			if eligible(v.Conn) {
				take(v.Conn, v.reason)
			}
		}
	}
	if all > 0 || own > 0 {
		return nil, false
	}
	for _, v := range out {
		b.evict(v.Conn, v.reason)
	}
	return out, true
}

// worstBodies returns the bodies whose memory c may get: first those without progress, then
// those that hold more than c would, of the owners that hold the most. The budget must be
// locked.
func (b *Budget) worstBodies(c *Conn, n int64) []victim {
	var out []victim
	now := time.Now()
	for v := range b.bodies {
		switch {
		case v.evicted:
		case now.Sub(v.progressAt) > progressTime:
			out = append(out, victim{v, reasonStalled})
		case v.owner != c.owner && v.owner.held > c.owner.held+n || v.held > advantage*(c.held+n):
			out = append(out, victim{v, reasonLargest})
		}
	}
	slices.SortFunc(out, func(v, w victim) int {
		if v.reason != w.reason {
			if v.reason == reasonStalled {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(w.owner.held, v.owner.held), cmp.Compare(w.held, v.held))
	})
	return out
}

// evict marks a connection as evicted. The budget must be locked.
func (b *Budget) evict(c *Conn, reason string) {
	b.unlist(c)
	c.evicted = true
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
	c.pending = c.held
	c.owner.pending += c.held
	b.pending += c.held
	b.reporter.count(reason, c.owner.name)
}

// settle ends the accounting of what an evicted connection was going to release. The budget
// must be locked.
func (b *Budget) settle(c *Conn) {
	b.pending -= c.pending
	c.owner.pending -= c.pending
	c.pending = 0
}

// end ends the connections that were evicted. Those that receive a body get an answer.
func (b *Budget) end(victims []victim) {
	for _, v := range victims {
		if v.running.Load() {
			_ = v.Conn.Conn.SetReadDeadline(past) // fails if it is closed already
			continue
		}
		_ = v.Conn.Conn.Close() // the server closes it once more
	}
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)
