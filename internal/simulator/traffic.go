package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// request is a request of a caller and its outcome. Times count from the start
// of the simulation.
type request struct {
	team      string
	entry     int           // index of the entry that receives the request
	at        time.Duration // time of arrival
	deadline  time.Duration // time by which the answer must be complete
	prompt    int           // tokens
	output    int           // tokens
	maxTokens int           // limit on the output that the caller set
	prefix    []uint64      // hashes of the prompt's leading KV blocks
	cached    int           // prompt tokens found in prefix caches

	firstToken time.Duration // time of the first token, or 0
	ended      time.Duration // time at which the answer was complete, or 0
	refused    bool
	retries    int
}

// onTime returns whether the answer was complete within the deadline.
func (r *request) onTime() bool { return r.ended > 0 && r.ended <= r.deadline }

// Team describes the traffic of one team.
type Team struct {
	Name   string
	Weight float64 // in fair queueing
	Order  int     // all requests of a lower order go first

	// Reads and Calls are the rates, in requests per second, of two kinds of
	// requests. Reads are prefill-heavy: long prompts with short answers.
	// Calls are decode-heavy: short prompts with long answers.
	Reads, Calls float64
}

// Scenario describes a workload, the fleet that serves it, and the faults that
// occur meanwhile.
type Scenario struct {
	Name    string
	Engines int // number of engines
	Entries int // number of entries
	Teams   []Team

	// SwapPeriod is the time after which reads and calls exchange their rates,
	// and later exchange them back. The exchanged rates are scaled to keep the
	// load about the same. 0 disables the exchange.
	SwapPeriod time.Duration

	// RateFactor multiplies all rates.
	RateFactor float64

	// NoisyTeam is the name of the team that sends five times its rate, or
	// "" if there is none.
	NoisyTeam string

	// EngineFailure is the time at which one engine fails, or 0 if none does.
	EngineFailure time.Duration

	// ReportLag is the age of load reports when they arrive at an entry.
	ReportLag time.Duration

	// Length is the duration of the traffic.
	Length time.Duration
}

const (
	readPrompt, readOutput = 12000, 30 // tokens, mean
	callPrompt, callOutput = 300, 250  // tokens, mean
	readDeadline           = 10 * time.Second
	callDeadline           = 12 * time.Second
	documents              = 40 // number of documents; reads of the same one share their first KV blocks
	noisyFactor            = 5  // multiple of its rate that a noisy team sends
)

// generate returns the requests of a scenario. They are in order of arrival for
// each team and kind of request only.
func generate(s Scenario, random *rand.Rand) []*request {
	var out []*request
	for _, t := range s.Teams {
		factor := s.RateFactor
		if t.Name == s.NoisyTeam {
			factor *= noisyFactor
		}
		for _, isRead := range []bool{true, false} {
			for at := time.Duration(0); ; {
				rate := factor * rateAt(s, t, isRead, at)
				if rate <= 0 {
					at += time.Second
				} else {
					at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
				}
				if at >= s.Length {
					break
				}
				if factor*rateAt(s, t, isRead, at) > 0 {
					out = append(out, newRequest(t.Name, isRead, at, s.Entries, random))
				}
			}
		}
	}
	return out
}

// rateAt returns the rate of a team's reads, or of its calls if isRead is not set,
// at the given time, in requests per second and without RateFactor.
func rateAt(s Scenario, t Team, isRead bool, at time.Duration) float64 {
	swapped := s.SwapPeriod > 0 && int(at/s.SwapPeriod)%2 == 1
	if !swapped {
		if isRead {
			return t.Reads
		}
		return t.Calls
	}
	// Multiplying by the ratio of the costs keeps the load about the same.
	if isRead {
		return t.Calls * callCost / readCost
	}
	return t.Reads * readCost / callCost
}

// Engine time, in seconds, that one read and one call take in a full batch by the
// step model: 50 µs for each prompt token, and for each output token an equal share
// of a decode step of about 11 ms.
const (
	readCost = readPrompt*50e-6 + readOutput*11e-3/slots
	callCost = callPrompt*50e-6 + callOutput*11e-3/slots
)

// newRequest returns a read, or a call if isRead is not set, that arrives at a
// random entry. The sizes of its prompt and its output are drawn from 0.5 to 1.5
// times their means. A read is about a random document.
func newRequest(team string, isRead bool, at time.Duration, entries int, random *rand.Rand) *request {
	r := &request{team: team, at: at, entry: random.IntN(entries)}
	promptScale := 0.5 + random.Float64()
	if !isRead {
		r.prompt, r.output = int(callPrompt*promptScale), int(callOutput*(0.5+random.Float64()))
		r.maxTokens, r.deadline = 2*callOutput, at+callDeadline
		return r
	}
	r.prompt, r.output = int(readPrompt*promptScale), int(readOutput*(0.5+random.Float64()))
	r.maxTokens, r.deadline = 2*readOutput, at+readDeadline
	document := random.IntN(documents)
	for i := range min(3, r.prompt/blockTokens) {
		r.prefix = append(r.prefix, uint64(document*10+i+1))
	}
	return r
}

// NourFestonsTeams returns the teams of the deployment of Cooperative Nour
// Festons.
func NourFestonsTeams() []Team {
	return []Team{
		{"phone-line", 4, 1, 0, 9},
		{"venue-check", 2, 1, 2.4, 0},
		{"hall-managers", 2, 1, 0.6, 2},
		{"weddings", 1, 1, 0.4, 1},
		{"members", 1, 1, 0, 2},
	}
}

// ThunderBayTeams returns the teams of the deployment in Thunder Bay.
func ThunderBayTeams() []Team {
	return []Team{
		{"quality", 4, 1, 3.6, 0},
		{"stalls", 2, 1, 0, 9},
		{"shelters", 2, 1, 0.6, 1},
		{"schools", 1, 1, 0.4, 1},
		{"markets", 1, 1, 0, 2},
	}
}

// Scenarios returns the scenarios on which policies are compared.
func Scenarios() []Scenario {
	// steady, full and rush are values of RateFactor.
	const (
		length = 4 * time.Minute
		steady = 2.0 // the engines are busy
		full   = 2.8 // the engines have hardly any spare capacity
		rush   = 3.6 // the engines cannot answer all requests
	)
	base := func(name string, teams []Team, engines, entries int, factor float64) Scenario {
		return Scenario{Name: name, Engines: engines, Entries: entries, Teams: teams, RateFactor: factor, ReportLag: 200 * time.Millisecond, Length: length}
	}
	with := func(s Scenario, f func(*Scenario)) Scenario {
		f(&s)
		return s
	}
	out := []Scenario{
		base("nour steady", NourFestonsTeams(), 9, 2, steady),
		with(base("nour swings", NourFestonsTeams(), 9, 2, full), func(s *Scenario) { s.SwapPeriod = time.Minute }),
		with(base("nour friday rush", NourFestonsTeams(), 9, 2, rush), func(s *Scenario) { s.SwapPeriod = time.Minute }),
		base("thunder steady", ThunderBayTeams(), 11, 2, steady),
		with(base("thunder friday rush", ThunderBayTeams(), 11, 2, rush), func(s *Scenario) { s.SwapPeriod = time.Minute }),
		with(base("a team at five times", NourFestonsTeams(), 9, 2, full), func(s *Scenario) { s.NoisyTeam = "hall-managers" }),
		with(base("an engine lost", NourFestonsTeams(), 9, 2, full), func(s *Scenario) { s.EngineFailure = 2 * time.Minute }),
	}
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		out = append(out, with(base(fmt.Sprintf("reports %v late", lag), NourFestonsTeams(), 9, 2, full), func(s *Scenario) { s.ReportLag = lag }))
	}
	for _, n := range []int{20, 100} {
		out = append(out, base(fmt.Sprintf("%d entries", n), NourFestonsTeams(), 9, n, full))
	}
	return out
}
