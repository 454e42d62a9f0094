package radishspoke

import "time"

// maxEntries is the number of entries that the system is designed for.
const maxEntries = 400

// Peers is what an entry knows of the other entries, with which it shares limits.
type Peers struct {
	// Known tells that the rows of the entries have been read, and that of this process
	// written, since its start. Before, List has those that have sent datagrams.
	Known bool
	List  []Peer

	ReadAt time.Duration // when the rows were last read; 0 before

	// Stated is the largest number of entries, its sender included, that one of List has
	// stated, or 0.
	Stated int
}

// Peer is another entry.
type Peer struct {
	Process    string
	Silent     bool          // no datagram from it has arrived recently
	ReceivedAt time.Duration // time of the last datagram, or of the discovery
}

// Heard reports whether any other entry is known, or that there is none.
func (p Peers) Heard() bool { return p.Known || len(p.List) > 0 }

// Count returns the number of entries, this one included. While it is not known, it is the
// number by which shared amounts have to be divided: that which a peer states or, if nothing was
// heard from any, the largest that the system is designed for.
func (p Peers) Count() int {
	n := len(p.List) + 1
	switch {
	case p.Known:
		return n
	case !p.Heard():
		return maxEntries
	}
	return max(n, min(p.Stated, maxEntries))
}
