package throttler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
	"radishspoke/platform"
)

const (
	// minColdValidity and maxColdValidity bound the time for which a permit for a cold target
	// can be used.
	minColdValidity = 50 * time.Millisecond
	maxColdValidity = 500 * time.Millisecond

	// validityShare is the part of the margin between the rate of a cold target and what it may
	// get in one second that unused permits may take. The rest is left for clocks and members
	// on which processes do not agree.
	validityShare = 0.5

	// settleTime is the time after its start in which a process does not take its list of
	// processes for complete, as others may be starting too.
	settleTime = 2 * time.Second

	// heardAge is the time in which a process must have heard from a majority of the others.
	// maxRowsAge is the age up to which its list of them is current. Both are less than the time
	// after which others forget a silent process and divide its share.
	heardAge   = 10 * time.Second
	maxRowsAge = 18 * time.Second

	// mostAge is the time for which processes that are not known any more count for the
	// majority. A process that is cut off from all others, but not from the store, forgets them.
	mostAge = time.Minute

	// minResortInterval is the least time between two requests to a cold target from a process
	// that is not sure of its share. It is longer where the share is lower.
	minResortInterval = time.Second

	// resortShare is the part of its equal share that such a process uses, as others may have
	// divided that share among themselves.
	resortShare = 0.25

	// coldGrace is the time for which a target stays cold after its stated time while the list
	// of targets is not known to be current, and maxListAge the age up to which it is.
	coldGrace  = time.Second
	maxListAge = 2500 * time.Millisecond

	// never lies before all times of a clock.
	never = time.Duration(math.MinInt64 / 2)
)

// chill is what is known about the cold state of a target.
type chill struct {
	group    string
	listed   bool            // the list of targets says that it is cold
	until    time.Duration   // end that the list states
	answered time.Duration   // end that its answers state
	cold     bool            // as last evaluated
	badCold  bool            // an invalid value has been logged
	warmAt   time.Duration   // when it stopped being cold; 0 if it was not
	reserved []time.Duration // when each pick ends to reserve a permit
	resortAt time.Duration   // time of the last request without a permit
}

// bound is the rate at which a target takes requests from all processes together.
type bound struct {
	limited  bool
	cold     bool
	rate     float64       // requests a second
	validity time.Duration // of a permit
}

// bound returns the bound of a target. The Throttler must be locked.
func (t *Throttler) bound(id string, g *target, now time.Duration) bound {
	rate := t.groups[g.group].ColdRate
	cold := rate > 0 && t.isCold(g, now)
	if cold != g.cold {
		t.setCold(id, g, cold, now)
	}
	if !cold {
		return bound{limited: g.limited, rate: g.rate, validity: validity(effectiveRate(g.rate))}
	}
	b := bound{limited: true, cold: true, rate: rate, validity: t.coldValidity(rate)}
	if g.limited {
		b.rate = min(b.rate, g.rate)
	}
	return b
}

// isCold reports whether a target is cold now.
func (t *Throttler) isCold(g *target, now time.Duration) bool {
	return now < g.answered || g.listed && (now < g.until+coldGrace || now-t.listedAt() < maxListAge)
}

// setCold records a change of the cold state. Permits from before it can't be used.
func (t *Throttler) setCold(id string, g *target, cold bool, now time.Duration) {
	g.cold, g.permits, g.reserved, g.members = cold, permits{slot: t.slot()}, nil, nil
	if cold {
		g.warmAt = 0
		t.log.Info("target is cold", "target", id, "group", g.group, "rate", t.groups[g.group].ColdRate, "left", max(g.until, g.answered)-now)
		return
	}
	g.warmAt = now
	t.log.Info("target is no longer cold", "target", id, "group", g.group)
}

// coldValidity returns the time for which a permit for a cold target can be used, where the group
// takes the given rate.
func (t *Throttler) coldValidity(rate float64) time.Duration {
	margin := (t.settings.ColdOvershoot-1)*rate + t.settings.ColdSlack
	return min(maxColdValidity, max(minColdValidity, time.Duration(validityShare*margin/rate*float64(time.Second))))
}

// isSure reports whether this process can be sure that its share of a cold target belongs to nobody
// else.
func (t *Throttler) isSure(p radishspoke.Peers, now time.Duration) bool {
	if n := len(p.List) + 1; n >= t.most || now-t.mostAt > mostAge {
		t.most, t.mostAt = n, now
	}
	heard := 1
	for _, k := range p.List {
		if now-k.ReceivedAt <= heardAge {
			heard++
		}
	}
	return p.Known && now-t.created >= settleTime && now-p.ReadAt <= maxRowsAge && 2*heard > t.most
}

// certain reports whether this process is sure of its share. The Throttler must be locked.
func (t *Throttler) certain(now time.Duration) bool {
	t.refreshNames(now)
	return t.sure
}

// unreserved returns the number of permits for a cold target that no pick has reserved.
func (t *Throttler) unreserved(id string, g *target, b bound, now time.Duration) int {
	t.advance(id, g, b, now)
	for len(g.reserved) > 0 && g.reserved[0] <= now {
		g.reserved = g.reserved[1:]
	}
	return len(g.permits.expiries) - len(g.reserved)
}

// reserve reserves a permit for a cold target. A process that is not sure of its share adds one.
func (t *Throttler) reserve(g *target, b bound, now time.Duration) {
	if !t.certain(now) {
		g.permits.expire(now)
		g.permits.expiries = append(g.permits.expiries, now+b.validity)
		g.resortAt = now
	}
	g.reserved = append(g.reserved, now+b.validity)
}

// Fallback reports whether a request may be sent to a cold target although this process is not sure
// of its share, as no other target takes it.
func (t *Throttler) Fallback(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok {
		return false
	}
	now := t.clock.Now()
	b := t.bound(id, g, now)
	return b.cold && !t.certain(now) && t.nextResort(id, g, b, now) == 0
}

// nextResort returns the time until a request may be sent to a cold target while this process is not
// sure of its share: in each interval, one in the validity of a permit from a point on that depends
// on the names. Processes that become unsure together do not send at once then.
func (t *Throttler) nextResort(id string, g *target, b bound, now time.Duration) time.Duration {
	t.refreshNames(now)
	if unsettled := t.created + settleTime - now; unsettled > 0 {
		return unsettled // the number of processes is not known yet
	}
	interval := max(minResortInterval, time.Duration(float64(len(t.names))/(resortShare*effectiveRate(b.rate))*float64(time.Second)))
	u := float64(xxhash.Sum64String(t.settings.Process+"/"+id)>>11) / (1 << 53)
	since := (now + time.Duration(u*float64(interval))) % interval
	if since < b.validity && now-g.resortAt > since {
		return 0
	}
	return interval - since
}

// Claim uses a permit for a request that is sent to a target now, if the target is cold. It returns
// false if there is none: the request must not be sent, and the pick be given back by Return.
func (t *Throttler) Claim(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok {
		return true
	}
	now := t.clock.Now()
	b := t.bound(id, g, now)
	if !b.cold {
		return true
	}
	if t.certain(now) {
		t.unreserved(id, g, b, now)
	} else {
		g.permits.expire(now)
	}
	if len(g.permits.expiries) == 0 {
		return false
	}
	g.permits.expiries = g.permits.expiries[1:]
	g.reserved = g.reserved[min(1, len(g.reserved)):]
	return true
}

// Cold reports whether a target gets requests at the rate of cold ones.
func (t *Throttler) Cold(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	return ok && t.bound(id, g, t.clock.Now()).cold
}

// StatesCold reports whether a target says that it is cold, also if no rate is known.
func (t *Throttler) StatesCold(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	return ok && t.isCold(g, t.clock.Now())
}

// Warmth returns the part of the time of its slow start that a target has behind it, and 1 if it
// was not cold.
func (t *Throttler) Warmth(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.targets[id]
	if !ok {
		return 1
	}
	now := t.clock.Now()
	b, period := t.bound(id, g, now), t.groups[g.group].ColdStart
	if b.cold || g.warmAt == 0 || period <= 0 {
		return 1
	}
	return min(1, (now-g.warmAt).Seconds()/period.Seconds())
}

// ColdTargets returns the number of targets that get requests at the rate of cold ones.
func (t *Throttler) ColdTargets() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, g := range t.targets {
		if t.bound(id, g, t.clock.Now()).cold {
			n++
		}
	}
	return n
}

// Configure sets the groups, which state the rates of cold targets.
func (t *Throttler) Configure(groups map[string]radishspoke.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups = groups
}

// observeCold records what an answer says about the cold state.
func (t *Throttler) observeCold(id string, g *target, a platform.AnswerHeader) {
	if a.BadCold != "" && !g.badCold {
		g.badCold = true
		t.log.Warn("target states a cold time that makes no sense", "target", id, "value", a.BadCold)
	}
	if a.Cold > 0 {
		g.answered = t.clock.Now() + a.Cold
	}
	t.bound(id, g, t.clock.Now())
}

// keepCold records which targets are listed as cold.
func (t *Throttler) keepCold(list []radishspoke.Instance, now time.Duration) {
	for _, i := range list {
		g, ok := t.targets[i.ID]
		if !ok && i.Cold == 0 {
			continue
		}
		if !ok {
			g = t.add(i.ID)
		}
		g.group, g.listed = i.Group, i.Cold > 0
		if g.listed {
			g.until = now + i.Cold
		}
		t.bound(i.ID, g, now)
	}
}
