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

// Key identifies what requests to the targets of one group may have in common: a part of
// their prompts, or the whole request, if they are repetitions of one. The other one of Part
// and Request is empty.
type Key struct {
	Group   string
	Part    string
	Request string // fingerprint
}

// String returns the part or the request, for messages.
func (k Key) String() string {
	if k.Request != "" {
		return "request " + k.Request
	}
	return "part " + k.Part
}

// Subject is a request as far as it may be the cause of a crash.
type Subject struct {
	Group   string
	Parts   []radishspoke.PromptPart // nil for a request to a plain service
	Request string                   // fingerprint
}

// Crash is the crash of a target during a request with a key. It has no time of another
// process but At, so that passing it on again and again does not change it.
type Crash struct {
	Key
	Engine string        // lifetime of the instance
	Depth  int           // number of parts before the part in its prompt, or of shared parts for a whole request
	At     time.Duration // time at which the engine crashed, on the clock of this process

	// Running is the time before the crash at which the newest request with the key was
	// sent to the target.
	Running time.Duration

	// Cleared tells that a request with the key was completed after the crash.
	Cleared bool
}

// Settings holds the parameters of a Quarantiner. A zero value selects the default.
type Settings struct {
	// Process is the name of this process among those that share their crashes.
	Process string

	// Crashes is the number of independent crashes after which a key is quarantined. The
	// default of 3 is the least that chance seldom reaches while engines crash every second.
	Crashes int

	// Hold is the time after the last crash for which requests with a quarantined key
	// are refused. The default is 5 min.
	Hold time.Duration

	// Doubt takes the place of Hold for requests that were on the same crashed targets,
	// of which one may be the cause. After that each is tried again, by one process at a
	// time. The default is 5 s.
	Doubt time.Duration

	// ReportFor is the time for which a new or changed crash is passed on to other
	// processes. Those of quarantined keys are passed on for Hold. The default is 5 s.
	ReportFor time.Duration
}

const (
	defaultCrashes   = 3
	defaultHold      = 5 * time.Minute
	defaultDoubt     = 5 * time.Second
	defaultReportFor = 5 * time.Second

	// breakWindow is the time before the crash of an engine is noticed in which the
	// generations on it broke off.
	breakWindow = time.Second

	// sameMoment is the time within which crashes of several engines may have one cause
	// that is none of the prompts.
	sameMoment = 20 * time.Millisecond

	// minChange is the least correction of a time that is passed on.
	minChange = time.Millisecond

	maxKeys        = 1024 // keys with crashes
	maxKeyCrashes  = 16   // of one key; the newest are kept
	maxCompletions = 8192 // keys whose last completion is kept
	maxReported    = 64   // crashes in one message; each takes about 60 bytes
)

func (s *Settings) setDefaults() {
	if s.Crashes == 0 {
		s.Crashes = defaultCrashes
	}
	if s.Hold == 0 {
		s.Hold = defaultHold
	}
	if s.Doubt == 0 {
		s.Doubt = defaultDoubt
	}
	if s.ReportFor == 0 {
		s.ReportFor = defaultReportFor
	}
}

// heldCrash is a crash with the time of its last change at this process.
type heldCrash struct {
	Crash
	changed time.Duration
}

// broken is a request that a target has broken off.
type broken struct {
	keys []Key
	sent time.Duration
	at   time.Duration
}

// Quarantiner keeps the crashes of this process and of others. It is safe for concurrent
// use. Create it with New.
type Quarantiner struct {
	settings Settings
	clock    radishspoke.Clock
	log      *slog.Logger
	peers    func() radishspoke.Peers

	mu          sync.Mutex
	broken      map[string][]broken      // newest broken requests, by lifetime of the engine
	crashes     map[Key][]heldCrash      // in the order of their times
	crashedAt   map[string]time.Duration // earliest time known, by lifetime of the engine
	completions map[Key]time.Duration    // last completion by this process
	quarantined map[Key]time.Duration    // end of the quarantine
	trials      map[Key]*trial           // keys that are tried again
	undecided   bool                     // a key would be quarantined if there was a completion
	served      map[string]time.Duration // last completion by this process, by group
}

// New returns a Quarantiner that quarantines nothing. The function peers returns the other
// processes.
func New(s Settings, c radishspoke.Clock, log *slog.Logger, peers func() radishspoke.Peers) *Quarantiner {
	s.setDefaults()
	return &Quarantiner{
		settings: s, clock: c, log: log, peers: peers, trials: map[Key]*trial{},
		broken: map[string][]broken{}, crashes: map[Key][]heldCrash{}, completions: map[Key]time.Duration{}, quarantined: map[Key]time.Duration{},
		served: map[string]time.Duration{}, crashedAt: map[string]time.Duration{},
	}
}

// keys returns the keys of a request: those of the parts that other prompts may share, and
// that of the whole. The last part of a prompt belongs to the request itself.
func (s Subject) keys() []Key {
	var out []Key
	for i := range len(s.Parts) - 1 {
		out = append(out, Key{Group: s.Group, Part: s.Parts[i].ID})
	}
	if s.Request != "" {
		out = append(out, Key{Group: s.Group, Request: s.Request})
	}
	return out
}

// Broken records that a target has broken off a request that was sent to it at the given
// time. It counts only if Crashed is called soon after.
func (q *Quarantiner) Broken(t radishspoke.Instance, s Subject, sent time.Duration) {
	engine, keys := t.Lifetime(), s.keys()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	list := slices.DeleteFunc(q.broken[engine], func(b broken) bool { return now-b.at > breakWindow })
	q.broken[engine] = append(list, broken{keys: keys, sent: sent, at: now})
}

// Crashed records that a target has crashed. The requests that it broke off shortly before are
// recorded as crashes on their keys.
func (q *Quarantiner) Crashed(t radishspoke.Instance) {
	engine := t.Lifetime()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, b := range q.broken[engine] {
		if now-b.at > breakWindow {
			continue
		}
		for depth, k := range b.keys {
			q.add(Crash{Key: k, Engine: engine, Depth: depth, At: b.at, Running: b.at - b.sent})
		}
	}
	delete(q.broken, engine)
	q.evaluate(now)
}

// Completed records that a request was completed.
func (q *Quarantiner) Completed(s Subject) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, changed := q.clock.Now(), q.undecided
	q.served[s.Group] = now
	for _, k := range s.keys() {
		if _, known := q.completions[k]; !known && len(q.completions) >= maxCompletions {
			q.forgetCompletions()
		}
		q.completions[k] = now
		for i := range q.crashes[k] {
			if c := &q.crashes[k][i]; !c.Cleared {
				c.Cleared, c.changed, changed = true, now, true
			}
		}
	}
	if changed {
		q.evaluate(now)
	}
}

// Keep forgets the broken requests of all targets but those listed.
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
func (q *Quarantiner) Merge(crashes []Crash) {
	if len(crashes) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for _, c := range crashes {
		changed = q.add(c) || changed
	}
	if changed {
		q.evaluate(q.clock.Now())
	}
}

// Quarantined returns the number of keys in quarantine.
func (q *Quarantiner) Quarantined() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evaluate(q.clock.Now())
	return len(q.quarantined)
}

// Report returns the crashes to pass on to other processes. Those of keys with the most
// crashes come first.
func (q *Quarantiner) Report() []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.evaluate(now)
	var out []Crash
	for k, list := range q.crashes {
		_, quarantined := q.quarantined[k]
		for _, c := range list {
			if quarantined || now-c.changed <= q.settings.ReportFor {
				out = append(out, c.Crash)
			}
		}
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(len(q.crashes[b.Key]), len(q.crashes[a.Key])), cmp.Compare(b.At, a.At), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	return out[:min(len(out), maxReported)]
}

// add records a crash. It returns false if the crash says nothing new. A crash that was
// passed on appears later than it was, never earlier, so that the earliest time is the best.
func (q *Quarantiner) add(c Crash) bool {
	now := q.clock.Now()
	if c.Running < 0 || now-c.At > q.settings.Hold {
		return false
	}
	if at, ok := q.crashedAt[c.Engine]; !ok || c.At < at {
		q.crashedAt[c.Engine] = c.At
	}
	c.Cleared = c.Cleared || q.completions[c.Key] > c.At
	list, known := q.crashes[c.Key]
	i := slices.IndexFunc(list, func(o heldCrash) bool { return o.Engine == c.Engine })
	switch {
	case i >= 0:
		old := list[i].Crash
		next := q.join(old, c)
		list[i].Crash = next
		if next.Cleared == old.Cleared && next.Running == old.Running && old.At-next.At < minChange {
			return false
		}
		list[i].changed = now
	default:
		if !known && len(q.crashes) >= maxKeys && !q.forgetCrash() {
			return false
		}
		list = append(list, heldCrash{Crash: c, changed: now})
	}
	slices.SortFunc(list, func(a, b heldCrash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Engine, b.Engine)) })
	q.crashes[c.Key] = list[max(0, len(list)-maxKeyCrashes):]
	return true
}

// join returns what two reports of one crash say together.
func (q *Quarantiner) join(a, b Crash) Crash {
	cleared := a.Cleared || b.Cleared
	switch {
	case q.isLate(b):
	case q.isLate(a):
		a = b
	default:
		a.At, a.Running = min(a.At, b.At), min(a.Running, b.Running)
	}
	a.Cleared = cleared
	return a
}

// isLate reports whether the request of a crash was sent when the engine had crashed
// already, as over a connection whose end had not been noticed.
func (q *Quarantiner) isLate(c Crash) bool { return c.At-c.Running >= q.crashedAt[c.Engine] }

// forgetCrash forgets the key with a single crash that is the oldest of these. It returns
// false if there is none.
func (q *Quarantiner) forgetCrash() bool {
	var oldest Key
	at, found := time.Duration(0), false
	for k, list := range q.crashes {
		if len(list) == 1 && (!found || list[0].At < at) {
			oldest, at, found = k, list[0].At, true
		}
	}
	delete(q.crashes, oldest)
	return found
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
