package trial

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// request is one caller's request.
type request struct {
	team     string
	entry    int
	at       time.Duration
	deadline time.Duration
	prompt   int // tokens
	output   int // tokens
	most     int // max_tokens that the caller named
	prefix   []uint64
	cached   int

	first   time.Duration // when the first token came
	ended   time.Duration // when the answer was whole
	refused bool
	tried   int
}

// good tells whether the answer came whole and within its deadline.
func (r *request) good() bool { return r.ended > 0 && r.ended <= r.deadline }

// Team is one team's traffic.
type Team struct {
	Name   string
	Weight float64
	Order  int

	// Reads and Calls are requests per second of the two work shapes: long
	// prompts with short answers, and short prompts with long ones.
	Reads, Calls float64
}

// Shape is a kind of traffic and what happens during it.
type Shape struct {
	Name    string
	Engines int
	Entries int
	Teams   []Team

	// Swing is the time after which reads and calls trade places, none if
	// zero. Factor multiplies all rates.
	Swing  time.Duration
	Factor float64

	// Greedy is the team that sends five times its rate, if any.
	Greedy string

	// Lost is when one engine is lost, never if zero.
	Lost time.Duration

	// Lag is how old reports are when they come.
	Lag time.Duration

	Length time.Duration
}

const (
	readPrompt, readOutput = 12000, 30 // tokens, means
	callPrompt, callOutput = 300, 250  // tokens, means
	readDeadline           = 10 * time.Second
	callDeadline           = 12 * time.Second
	documents              = 40 // that reads share their first blocks with
	greed                  = 5  // times its rate
)

// generate makes the requests of a shape, in order of arrival.
func generate(s Shape, random *rand.Rand) []*request {
	var out []*request
	for _, t := range s.Teams {
		factor := s.Factor
		if t.Name == s.Greedy {
			factor *= greed
		}
		for _, long := range []bool{true, false} {
			for at := time.Duration(0); ; {
				rate := factor * rateAt(s, t, long, at)
				if rate <= 0 {
					at += time.Second
				} else {
					at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
				}
				if at >= s.Length {
					break
				}
				if factor*rateAt(s, t, long, at) > 0 {
					out = append(out, newRequest(t.Name, long, at, s.Entries, random))
				}
			}
		}
	}
	return out
}

// rateAt returns a team's rate of one work shape at a moment.
func rateAt(s Shape, t Team, long bool, at time.Duration) float64 {
	swapped := s.Swing > 0 && int(at/s.Swing)%2 == 1
	if !swapped {
		if long {
			return t.Reads
		}
		return t.Calls
	}
	// Both shapes cost about the same there as here.
	if long {
		return t.Calls * callCost / readCost
	}
	return t.Reads * readCost / callCost
}

// Seconds of an engine that one request of each shape takes in a full batch.
const (
	readCost = readPrompt*50e-6 + readOutput*11e-3/slots
	callCost = callPrompt*50e-6 + callOutput*11e-3/slots
)

func newRequest(team string, long bool, at time.Duration, entries int, random *rand.Rand) *request {
	r := &request{team: team, at: at, entry: random.IntN(entries)}
	spread := 0.5 + random.Float64()
	if !long {
		r.prompt, r.output = int(callPrompt*spread), int(callOutput*(0.5+random.Float64()))
		r.most, r.deadline = 2*callOutput, at+callDeadline
		return r
	}
	r.prompt, r.output = int(readPrompt*spread), int(readOutput*(0.5+random.Float64()))
	r.most, r.deadline = 2*readOutput, at+readDeadline
	doc := random.IntN(documents)
	for i := range min(3, r.prompt/blockTokens) {
		r.prefix = append(r.prefix, uint64(doc*10+i+1))
	}
	return r
}

// Nour returns the teams of Cooperative Nour Festons.
func Nour() []Team {
	return []Team{
		{"phone-line", 4, 1, 0, 9},
		{"venue-check", 2, 1, 2.4, 0},
		{"hall-managers", 2, 1, 0.6, 2},
		{"weddings", 1, 1, 0.4, 1},
		{"members", 1, 1, 0, 2},
	}
}

// Thunder returns the teams of Thunder Bay.
func Thunder() []Team {
	return []Team{
		{"quality", 4, 1, 3.6, 0},
		{"stalls", 2, 1, 0, 9},
		{"shelters", 2, 1, 0.6, 1},
		{"schools", 1, 1, 0.4, 1},
		{"markets", 1, 1, 0, 2},
	}
}

// Shapes returns the traffic that policies are compared on.
func Shapes() []Shape {
	const (
		length = 4 * time.Minute
		steady = 2.0 // times the teams' rates: the fleet is busy
		full   = 2.8 // and has hardly any room
		rush   = 3.6 // and can't answer all
	)
	base := func(name string, teams []Team, engines, entries int, factor float64) Shape {
		return Shape{Name: name, Engines: engines, Entries: entries, Teams: teams, Factor: factor, Lag: 200 * time.Millisecond, Length: length}
	}
	with := func(s Shape, f func(*Shape)) Shape {
		f(&s)
		return s
	}
	out := []Shape{
		base("nour steady", Nour(), 9, 2, steady),
		with(base("nour swings", Nour(), 9, 2, full), func(s *Shape) { s.Swing = time.Minute }),
		with(base("nour friday rush", Nour(), 9, 2, rush), func(s *Shape) { s.Swing = time.Minute }),
		base("thunder steady", Thunder(), 11, 2, steady),
		with(base("thunder friday rush", Thunder(), 11, 2, rush), func(s *Shape) { s.Swing = time.Minute }),
		with(base("a team at five times", Nour(), 9, 2, full), func(s *Shape) { s.Greedy = "hall-managers" }),
		with(base("an engine lost", Nour(), 9, 2, full), func(s *Shape) { s.Lost = 2 * time.Minute }),
	}
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		out = append(out, with(base(fmt.Sprintf("reports %v late", lag), Nour(), 9, 2, full), func(s *Shape) { s.Lag = lag }))
	}
	for _, n := range []int{20, 100} {
		out = append(out, base(fmt.Sprintf("%d entries", n), Nour(), 9, n, full))
	}
	return out
}
