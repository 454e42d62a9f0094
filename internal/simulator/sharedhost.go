package simulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"radishspoke"
)

// SharedHosts is a model of targets whose hosts others use too, so that their speed changes.
// Senders know what the answers to their own requests have stated.
type SharedHosts struct {
	Rate   float64       // requests a second of all senders together
	Length time.Duration // of the play
	Change time.Duration // time from the change of the speed of one target to that of another
	Work   time.Duration // of a request at usual speed

	hosts map[string]*sharedHost
}

// sharedHost is one target.
type sharedHost struct {
	slots    int
	slowness float64
	running  []time.Duration // ends of the requests there
	served   int
	work     time.Duration // of all requests
}

// HostReport is the load that a target states in an answer.
type HostReport struct {
	Target           string
	Running, Waiting int
	Slowness         float64 // 1 is usual
}

// Play sends requests from a number of senders to the targets in list. The function join returns
// two functions of each sender: one that chooses the target of a request at a time, and one that
// gets the report of that target.
func (m *SharedHosts) Play(list []radishspoke.Instance, senders int, seed uint64, join func(i int) (pick func(now time.Duration) string, report func(HostReport))) {
	random := rand.New(rand.NewPCG(seed, 5))
	m.hosts = map[string]*sharedHost{}
	for _, i := range list {
		m.hosts[i.ID] = &sharedHost{slots: i.Slots, slowness: 1}
	}
	picks, reports := make([]func(time.Duration) string, senders), make([]func(HostReport), senders)
	for i := range senders {
		picks[i], reports[i] = join(i)
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < m.Length; now += time.Duration(random.ExpFloat64() / m.Rate * float64(time.Second)) {
		for ; next < now; next += m.Change {
			m.hosts[list[random.IntN(len(list))].ID].slowness = math.Exp2(random.NormFloat64())
		}
		sender := random.IntN(senders)
		id := picks[sender](now)
		h := m.hosts[id]
		h.running = slices.DeleteFunc(h.running, func(end time.Duration) bool { return end <= now })
		took := time.Duration(h.slowness * float64(m.Work))
		h.running = append(h.running, now+took)
		h.served++
		h.work += took
		n := len(h.running)
		reports[sender](HostReport{Target: id, Running: min(h.slots, n), Waiting: max(0, n-h.slots), Slowness: h.slowness})
	}
}

// Skew returns the number of requests at the busiest target, relative to the mean.
func (m *SharedHosts) Skew() float64 {
	most, sum := 0, 0
	for _, h := range m.hosts {
		most, sum = max(most, h.served), sum+h.served
	}
	return float64(most) * float64(len(m.hosts)) / float64(sum)
}

// Mean returns the mean time of the work of a request.
func (m *SharedHosts) Mean() time.Duration {
	n, sum := 0, time.Duration(0)
	for _, h := range m.hosts {
		n, sum = n+h.served, sum+h.work
	}
	return sum / time.Duration(n)
}
