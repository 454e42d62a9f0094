package router

import "time"

const pastLength = 128 // changes remembered

// past remembers this process's own share of a target's load, so that it can
// be told from that of others in a report made some time ago. It is a ring:
// the oldest change is let go of when it is full. The zero value is empty.
type past struct {
	ring  [pastLength]share
	next  int
	count int
}

// share is a process's requests at a target at one moment.
type share struct {
	at          time.Duration
	outstanding int
	unread      int
}

func (p *past) add(s share) {
	p.ring[p.next] = s
	p.next = (p.next + 1) % pastLength
	p.count = min(p.count+1, pastLength)
}

// at returns the share at a moment, or the oldest one remembered.
func (p *past) at(moment time.Duration) share {
	out := share{}
	for i := 1; i <= p.count; i++ {
		out = p.ring[(p.next-i+pastLength)%pastLength]
		if out.at <= moment {
			return out
		}
	}
	if p.count < pastLength {
		return share{} // before the first change there was nothing
	}
	return out
}
