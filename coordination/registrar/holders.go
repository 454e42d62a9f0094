package registrar

import (
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// Holder is a host whose sidecar keeps records.
type Holder struct {
	Host string // IP address

	zone    string
	leaving bool
	hash    uint64
}

// Holders returns the hosts of the engines in a list of targets, in the order of their
// addresses.
func Holders(list []radishspoke.Instance) []Holder {
	byHost := map[string]Holder{}
	for _, i := range list {
		address, err := netip.ParseAddrPort(i.Address)
		if i.Role == "" || err != nil {
			continue
		}
		host := address.Addr().String()
		h, ok := byHost[host]
		byHost[host] = Holder{Host: host, zone: i.Zone, leaving: i.Leaving && (!ok || h.leaving), hash: xxhash.Sum64String(host)}
	}
	out := make([]Holder, 0, len(byHost))
	for _, h := range byHost {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// score returns the weight of a holder for a key, by the finalizer of MurmurHash3.
func (h Holder) score(k Key) uint64 {
	x := h.hash ^ uint64(k)*0x9e3779b97f4a7c15
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// place returns up to n holders of a key, best first: those that stay before those that
// leave, and one of each availability zone before a second one. It does not return the host
// that is excluded.
func place(holders []Holder, k Key, n int, exclude string) []Holder {
	var out []Holder
	chosen, zones := make([]bool, len(holders)), map[string]int{}
	for len(out) < min(n, len(holders)) {
		best := -1
		for i, h := range holders {
			if chosen[i] || h.Host == exclude {
				continue
			}
			if best < 0 || h.before(holders[best], k, zones) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		chosen[best] = true
		zones[holders[best].zone]++
		out = append(out, holders[best])
	}
	return out
}

// before reports whether h is chosen before o if the given numbers of holders have been
// chosen in the availability zones.
func (h Holder) before(o Holder, k Key, zones map[string]int) bool {
	if h.leaving != o.leaving {
		return o.leaving
	}
	if a, b := zones[h.zone], zones[o.zone]; a != b {
		return a < b
	}
	return h.score(k) > o.score(k)
}
