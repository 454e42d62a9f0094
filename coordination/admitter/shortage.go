package admitter

import (
	"math"
	"time"
)

const (
	// A shortage ends when the pressure was below lastingWait or lastingSlots for easyTime.
	// Requests that are rejected keep slots nearly full and waits short.
	lastingWait  = 0.25
	lastingSlots = 0.9
	easyTime     = time.Second

	// correction is the relative change of the factor of a capacity in a second, for a
	// pressure that is 1 away from that of a full resource. It is slow, as pressures lag behind.
	correction = 0.1

	// drainTime is the time in which prompts that wait too long are worked off.
	drainTime = 500 * time.Millisecond
	mostDrain = 0.5 // part of the engines that work them off

	// slotGain is the part by which the slots given to requests are reduced for a pressure that
	// is 1 above that of a full resource: answers that began earlier hold them longer.
	slotGain = 2.0

	// trendTime is the time constant of the pressure with which the newest one is compared.
	trendTime = 300 * time.Millisecond

	// idleCorrection is the additional correction of an idle resource, and nearlyFull the
	// pressure above which there is none.
	idleCorrection = 0.4
	nearlyFull     = 0.8

	// maxExcess bounds the excess of a pressure over 1 that the correction is proportional to.
	maxExcess = 1.0

	// spare is the part by which the capacity of idle prefill engines is exceeded.
	spare = 0.15

	// leastFactor and mostFactor bound the factors.
	leastFactor = 0.7
	mostFactor  = 8.0

	// agreement is the time constant with which processes agree on their factors.
	agreement = time.Second
)

// Supply is what the targets of a group offer, as a process knows them.
type Supply struct {
	Prefill float64 // prefill engines
	Slots   float64 // of the targets that answer and can be in use in the mean; 0 if it is not known
	PerOne  float64 // slots of one target

	Wait     time.Duration // mean expected wait for a turn at prefill engines
	Least    time.Duration // least expected wait for a turn
	InUse    float64       // slots that this process uses
	Waiting  float64       // requests that wait at the targets, as they last reported
	Refusing float64       // slots of targets that have refused requests lately
}

// slotPressure returns how short slots are, by the number that all processes use. At 1, a
// resource is short.
func slotPressure(s Supply, inUse float64) float64 {
	if s.Slots <= 0 {
		return 0
	}
	return (inUse + s.Waiting + s.Refusing) / s.Slots
}

// shortage is the evidence that a group lacks a resource, and the factor by which the real
// capacity differs from the computed one.
type shortage struct {
	short  bool
	tense  time.Duration // time of the last pressure that keeps up the evidence
	factor float64       // 0 before the first pressure
	trend  float64       // moving mean of the pressure
}

// update takes the newest pressure into account, the pressure that keeps up the evidence, and
// whether requests are rejected for lack of the resource, here or by targets.
func (s *shortage) update(now, passed time.Duration, pressure, lasting float64, rejecting bool) {
	if pressure >= lasting {
		s.tense = now
	}
	switch {
	case pressure >= 1:
		s.short = true
	case now-s.tense >= easyTime:
		s.short = false
	}
	if s.short && rejecting {
		s.correct(pressure, passed)
	}
	s.trend += (1 - math.Exp(-float64(passed)/float64(trendTime))) * (pressure - s.trend)
}

// correct changes the factor by a pressure. It is not reduced while the pressure falls.
func (s *shortage) correct(pressure float64, passed time.Duration) {
	speed := correction * max(-maxExcess, 1-pressure)
	if pressure < nearlyFull {
		speed += idleCorrection * (nearlyFull - pressure) / nearlyFull
	}
	if speed > 0 || pressure >= s.trend {
		s.factor = min(mostFactor, max(leastFactor, s.factor*math.Exp(speed*passed.Seconds())))
	}
}

// easing returns the factor by which the capacity is exceeded because the evidence is old.
func (s *shortage) easing(now time.Duration) float64 {
	return 1 + float64(now-s.tense)/float64(easyTime)
}

// agree moves the factor towards the mean of all processes.
func (s *shortage) agree(passed time.Duration, mean float64) {
	s.factor += (1 - math.Exp(-float64(passed)/float64(agreement))) * (mean - s.factor)
}

// capacity returns the resources per second that a group is expected to serve. What is not
// short is not bounded.
func capacity(now, tolerableWait time.Duration, supply Supply, inUse float64, prefill, slot *shortage) resources {
	out := resources{math.Inf(1), math.Inf(1)}
	if prefill.short {
		drain := min(mostDrain, max(0, float64(supply.Wait-tolerableWait)/float64(drainTime)))
		fill := spare * max(0, float64(tolerableWait-supply.Wait)/float64(tolerableWait))
		out.prefill = supply.Prefill * prefill.factor * (1 - drain + fill) * prefill.easing(now)
	}
	if slot.short {
		drain := min(mostDrain, slotGain*max(0, slotPressure(supply, inUse)-1))
		out.slot = supply.Slots * slot.factor * (1 - drain) * slot.easing(now)
	}
	return out
}
