package throttler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotLength is the length of the slots into which time is divided.
	slotLength = 10 * time.Millisecond

	// minValidity and maxValidity bound the time for which a permit can be used, which
	// otherwise is the mean time between two permits. With a permit of up to maxValidity
	// unused, a target with the least limit gets two requests at once at most.
	minValidity = time.Second
	maxValidity = 4 * time.Second

	// minRate is the rate, in requests a second, at which requests are sent to a target
	// that states a lower one. Without any, no answer would tell that the limit has ended.
	minRate = 0.25

	// equalShare is the part of the weights that does not depend on the demand, so that a
	// process can serve a first request.
	equalShare = 0.05

	// maxDraws is the number of permits in one slot up to which each is drawn by itself.
	// More are divided in proportion to the weights.
	maxDraws = 16

	// demandTime is the time constant of the moving average of the demand.
	demandTime = 2 * time.Second
)

// member is a process that sends requests.
type member struct {
	hash   uint64 // of its name
	weight float64
}

// permits holds the permits of this process for one target.
type permits struct {
	slot     int64           // newest slot that was drawn
	expiries []time.Duration // of unused permits, oldest first
	next     int64           // next slot with a permit, if it is after slot
	fraction float64         // of a permit, from slots with more than maxDraws
}

// demand is a moving average of a rate.
type demand struct {
	rate float64 // a second
	at   time.Duration
}

// add adds n requests.
func (d *demand) add(n float64, now time.Duration) {
	d.rate = d.rate*math.Exp(-(now-d.at).Seconds()/demandTime.Seconds()) + n/demandTime.Seconds()
	d.at = now
}

// effectiveRate returns the rate at which requests are sent to a target with a limit.
func effectiveRate(limit float64) float64 { return max(limit, minRate) }

// validity returns the time for which a permit can be used.
func validity(rate float64) time.Duration {
	return min(maxValidity, max(minValidity, time.Duration(float64(time.Second)/rate)))
}

// inSlot returns the number of permits of a slot, over all processes.
func inSlot(slot int64, rate float64) int {
	perSlot := rate * slotLength.Seconds()
	return int(math.Floor(float64(slot+1)*perSlot) - math.Floor(float64(slot)*perSlot))
}

// advance draws the slots up to the given one, whose permits can be used for the time keep. The
// first member is this process.
func (p *permits) advance(id string, slot int64, now time.Duration, rate float64, keep time.Duration, members []member) {
	if behind := int64(keep / slotLength); slot-p.slot > behind || p.slot-slot > behind {
		p.slot = slot - behind
	}
	base := xxhash.Sum64String(id)
	for p.slot < slot {
		p.slot++
		n, own := inSlot(p.slot, rate), 0
		if n > maxDraws {
			p.fraction += float64(n) * members[0].weight
			own = int(p.fraction)
			p.fraction -= float64(own)
		} else {
			own = draw(base, p.slot, n, members)
		}
		expiry := now - time.Duration(slot-p.slot)*slotLength + keep
		for range own {
			p.expiries = append(p.expiries, expiry)
		}
	}
	p.expire(now)
}

// expire drops the permits that can't be used any more.
func (p *permits) expire(now time.Duration) {
	expired := 0
	for expired < len(p.expiries) && p.expiries[expired] <= now {
		expired++
	}
	p.expiries = p.expiries[expired:]
}

// scale keeps a fraction of the unused permits, after the limit has become lower.
func (p *permits) scale(fraction float64) {
	keep := int(math.Ceil(float64(len(p.expiries)) * fraction))
	p.expiries = p.expiries[max(0, len(p.expiries)-keep):]
}

// wait returns the time until the next slot with a permit, at most maxValidity.
func (p *permits) wait(id string, rate float64, members []member) time.Duration {
	if p.next <= p.slot {
		base := xxhash.Sum64String(id)
		last := p.slot + int64(maxValidity/slotLength)
		for p.next = p.slot + 1; p.next < last; p.next++ {
			if n := inSlot(p.next, rate); n > maxDraws || draw(base, p.next, n, members) > 0 {
				break
			}
		}
	}
	return time.Duration(p.next-p.slot) * slotLength
}

// draw returns how many of the n permits of a slot belong to the first member.
func draw(base uint64, slot int64, n int, members []member) int {
	own := 0
	equal := equalWeights(members)
	for k := range n {
		seed := mix(base ^ mix(uint64(slot)*maxDraws+uint64(k)))
		if equal {
			if first(seed, members) {
				own++
			}
			continue
		}
		best, least := 0, math.Inf(1)
		for i, m := range members {
			u := (float64(mix(seed^m.hash)>>11) + 1) / (1 << 53) // in (0, 1]
			if score := -math.Log(u) / m.weight; score < least {
				best, least = i, score
			}
		}
		if best == 0 {
			own++
		}
	}
	return own
}

// equalWeights reports whether all members have the same weight.
func equalWeights(members []member) bool {
	for _, m := range members {
		if m.weight != members[0].weight {
			return false
		}
	}
	return true
}

// first reports whether a permit that is drawn with equal weights belongs to the first member.
func first(seed uint64, members []member) bool {
	own := mix(seed ^ members[0].hash)
	for _, m := range members[1:] {
		if mix(seed^m.hash) > own {
			return false
		}
	}
	return true
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
