package quarantiner

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"radishspoke"
)

// Key identifies a part of prompts for the engines of one group.
type Key struct {
	Group string
	Part  string
}

// Case is the end of an engine during a generation on a part. It has no time of another
// process but Ended, so that passing it on again and again does not change it.
type Case struct {
	Key
	Engine string        // lifetime of the instance
	Depth  int           // number of parts before the part in its prompt
	Ended  time.Duration // time at which the engine ended, on the clock of this process

	// Running is the time before the end at which the newest request with the part was
	// sent to the engine.
	Running time.Duration

	// Disproved tells that a generation on the part was completed after the end.
	Disproved bool
}

// Settings holds the parameters of a Quarantiner. A zero value selects the default.
type Settings struct {
	// Ends is the number of ends of engines, one after the other, after which a part is
	// blamed. The default of 3 is the least that chance seldom reaches while engines end
	// every second.
	Ends int

	// Hold is the time after the last end for which prompts with a blamed part are
	// refused. The default is 5 min.
	Hold time.Duration

	// ReportFor is the time for which a new or changed case is passed on to other
	// processes. Cases of blamed parts are passed on for Hold. The default is 5 s.
	ReportFor time.Duration
}

const (
	defaultEnds      = 3
	defaultHold      = 5 * time.Minute
	defaultReportFor = 5 * time.Second

	// breakWindow is the time before the end of an engine is noticed in which the
	// generations on it broke off.
	breakWindow = time.Second

	maxParts       = 1024 // parts with cases
	maxPartCases   = 16   // cases of one part; the newest are kept
	maxCompletions = 8192 // parts whose last completion is kept
	maxReported    = 64   // cases in one message; each takes about 60 bytes
)

func (s *Settings) setDefaults() {
	if s.Ends == 0 {
		s.Ends = defaultEnds
	}
	if s.Hold == 0 {
		s.Hold = defaultHold
	}
	if s.ReportFor == 0 {
		s.ReportFor = defaultReportFor
	}
}

// heldCase is a case with the time of its last change at this process.
type heldCase struct {
	Case
	changed time.Duration
}

// broken is a generation that an engine has broken off.
type broken struct {
	keys []Key
	sent time.Duration
	at   time.Duration
}

// Quarantiner keeps the cases of this process and of others. It is safe for concurrent
// use. Create it with New.
type Quarantiner struct {
	settings Settings
	clock    radishspoke.Clock
	log      *slog.Logger

	mu          sync.Mutex
	broken      map[string][]broken      // newest broken generations, by lifetime of the engine
	cases       map[Key][]heldCase       // in the order of their ends
	completions map[Key]time.Duration    // last completion by this process
	blamed      map[Key]time.Duration    // end of the quarantine
	undecided   bool                     // a part would be blamed if there was a completion
	served      map[string]time.Duration // last completion by this process, by group
}

// New returns a Quarantiner that blames no part.
func New(s Settings, c radishspoke.Clock, log *slog.Logger) *Quarantiner {
	s.setDefaults()
	return &Quarantiner{
		settings: s, clock: c, log: log,
		broken: map[string][]broken{}, cases: map[Key][]heldCase{}, completions: map[Key]time.Duration{}, blamed: map[Key]time.Duration{},
		served: map[string]time.Duration{},
	}
}

// keysOf returns the keys of the parts of a prompt that other prompts may share. The
// last part belongs to the request itself.
func keysOf(group string, parts []radishspoke.PromptPart) []Key {
	if len(parts) < 2 {
		return nil
	}
	out := make([]Key, len(parts)-1)
	for i := range out {
		out[i] = Key{Group: group, Part: parts[i].ID}
	}
	return out
}

// Broken records that an engine has broken off a generation that was sent to it at the
// given time. It counts only if Ended is called soon after.
func (q *Quarantiner) Broken(t radishspoke.Instance, parts []radishspoke.PromptPart, sent time.Duration) {
	engine, keys := t.Lifetime(), keysOf(t.Group, parts)
	if keys == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	list := slices.DeleteFunc(q.broken[engine], func(b broken) bool { return now-b.at > breakWindow })
	q.broken[engine] = append(list, broken{keys: keys, sent: sent, at: now})
}

// Ended records that an engine has ended. The generations on it that broke off shortly
// before become cases.
func (q *Quarantiner) Ended(t radishspoke.Instance) {
	engine := t.Lifetime()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, b := range q.broken[engine] {
		if now-b.at > breakWindow {
			continue
		}
		for depth, k := range b.keys {
			q.add(Case{Key: k, Engine: engine, Depth: depth, Ended: b.at, Running: b.at - b.sent})
		}
	}
	delete(q.broken, engine)
	q.judge(now)
}

// Completed records that a generation was completed.
func (q *Quarantiner) Completed(group string, parts []radishspoke.PromptPart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, changed := q.clock.Now(), q.undecided
	q.served[group] = now
	for _, k := range keysOf(group, parts) {
		if _, known := q.completions[k]; !known && len(q.completions) >= maxCompletions {
			q.forgetCompletions()
		}
		q.completions[k] = now
		for i := range q.cases[k] {
			if c := &q.cases[k][i]; !c.Disproved {
				c.Disproved, c.changed, changed = true, now, true
			}
		}
	}
	if changed {
		q.judge(now)
	}
}

// Keep forgets broken generations of all engines but those listed.
func (q *Quarantiner) Keep(list []radishspoke.Instance) {
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.Lifetime()] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.broken, func(engine string, _ []broken) bool { return !listed[engine] })
}

// Merge records what another process has seen.
func (q *Quarantiner) Merge(cases []Case) {
	if len(cases) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for _, c := range cases {
		changed = q.add(c) || changed
	}
	if changed {
		q.judge(q.clock.Now())
	}
}

// Refuses returns the blamed part of a prompt and the time until it may be tried again.
// It returns false if the prompt has none.
func (q *Quarantiner) Refuses(group string, parts []radishspoke.PromptPart) (part string, after time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.blamed) == 0 {
		return "", 0, false
	}
	now := q.clock.Now()
	for _, k := range keysOf(group, parts) {
		if until, found := q.blamed[k]; found && now < until {
			return k.Part, until - now, true
		}
	}
	return "", 0, false
}

// Blamed returns the number of parts in quarantine.
func (q *Quarantiner) Blamed() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.judge(q.clock.Now())
	return len(q.blamed)
}

// Report returns the cases to pass on to other processes. Those of parts with the most
// cases come first.
func (q *Quarantiner) Report() []Case {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.judge(now)
	var out []Case
	for k, list := range q.cases {
		_, blamed := q.blamed[k]
		for _, c := range list {
			if blamed || now-c.changed <= q.settings.ReportFor {
				out = append(out, c.Case)
			}
		}
	}
	slices.SortFunc(out, func(a, b Case) int {
		return cmp.Or(cmp.Compare(len(q.cases[b.Key]), len(q.cases[a.Key])), cmp.Compare(b.Ended, a.Ended), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxReported)]
}

// add records a case. It returns false if the case says nothing new.
func (q *Quarantiner) add(c Case) bool {
	now := q.clock.Now()
	if c.Running < 0 || now-c.Ended > q.settings.Hold {
		return false
	}
	// A case that was passed on appears later than it was, never earlier.
	c.Disproved = c.Disproved || q.completions[c.Key] > c.Ended
	list, known := q.cases[c.Key]
	for i := range list {
		if o := &list[i]; o.Engine == c.Engine {
			if c.Running >= o.Running && (o.Disproved || !c.Disproved) {
				return false
			}
			o.Running, o.Disproved, o.changed = min(o.Running, c.Running), o.Disproved || c.Disproved, now
			return true
		}
	}
	if !known && len(q.cases) >= maxParts {
		return false
	}
	list = append(list, heldCase{Case: c, changed: now})
	slices.SortFunc(list, func(a, b heldCase) int { return cmp.Or(cmp.Compare(a.Ended, b.Ended), cmp.Compare(a.Engine, b.Engine)) })
	q.cases[c.Key] = list[max(0, len(list)-maxPartCases):]
	return true
}

// forgetCompletions forgets the older half of the completions.
func (q *Quarantiner) forgetCompletions() {
	times := make([]time.Duration, 0, len(q.completions))
	for _, at := range q.completions {
		times = append(times, at)
	}
	slices.Sort(times)
	for k, at := range q.completions {
		if at <= times[len(times)/2] {
			delete(q.completions, k)
		}
	}
}
