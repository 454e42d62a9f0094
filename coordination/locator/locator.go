package locator

import (
	"sort"
	"sync"
	"time"

	"radishspoke"
)

// Fact says that an engine has a part of a prompt, with all parts before it, in its
// cache.
type Fact struct {
	Part   string
	Engine string        // instance id
	Tokens int           // of the prompt up to the end of the part
	Used   time.Duration // time of its last use there, on the clock of this process
}

// Settings holds the parameters of a Locator. A zero value selects the default.
type Settings struct {
	// Refresh is the time after which a fact that still holds is reported again.
	// The default is 3 s.
	Refresh time.Duration

	// Rounds is the number of messages in which a fact is passed on. The default
	// is 3: each message reaches several processes, which pass it on as well.
	Rounds int

	// MaxAge is the age at which a fact is forgotten whatever the engines read.
	// The default is 1 min.
	MaxAge time.Duration
}

const (
	defaultRefresh = 3 * time.Second
	defaultRounds  = 3
	defaultMaxAge  = time.Minute

	// maxEngineParts is the maximum number of parts kept for one engine.
	maxEngineParts = 4096

	// maxReported is the maximum number of facts in one message. A fact takes about
	// 40 bytes, and a datagram must stay well below 64 KiB.
	maxReported = 200

	// maxFutureUse bounds how far in the future a use may lie, which happens if
	// clocks run at different rates.
	maxFutureUse = time.Second
)

func (s *Settings) setDefaults() {
	if s.Refresh == 0 {
		s.Refresh = defaultRefresh
	}
	if s.Rounds == 0 {
		s.Rounds = defaultRounds
	}
	if s.MaxAge == 0 {
		s.MaxAge = defaultMaxAge
	}
}

// entry is a fact with the state of its report.
type entry struct {
	Fact
	reported time.Duration // value of Used in the newest report
	rounds   int           // messages in which it is still to be passed on
}

// Locator keeps the directory. It is safe for concurrent use. Create it with New.
type Locator struct {
	settings Settings
	clock    radishspoke.Clock

	mu      sync.Mutex
	engines map[string]map[string]*entry // by engine and part
	pending []*entry                     // facts to be passed on
}

// New returns an empty Locator.
func New(s Settings, c radishspoke.Clock) *Locator {
	s.setDefaults()
	return &Locator{settings: s, clock: c, engines: map[string]map[string]*entry{}}
}

// Record records that an engine has just used a part, as seen by this process.
func (l *Locator) Record(part, engine string, tokens int) {
	if part == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(Fact{part, engine, tokens, l.clock.Now()})
}

// Merge records a fact that another process has reported.
func (l *Locator) Merge(f Fact) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if f.Part == "" || f.Engine == "" || f.Tokens < 0 || f.Used > now+maxFutureUse || now-f.Used > l.settings.MaxAge {
		return
	}
	l.learn(f)
}

// learn records a fact, and marks it to be passed on if the other processes can't
// know it yet.
func (l *Locator) learn(f Fact) {
	parts, ok := l.engines[f.Engine]
	if !ok {
		parts = map[string]*entry{}
		l.engines[f.Engine] = parts
	}
	e, ok := parts[f.Part]
	if !ok {
		if len(parts) >= maxEngineParts {
			return
		}
		e = &entry{Fact: f, reported: f.Used - l.settings.Refresh}
		parts[f.Part] = e
	}
	e.Used, e.Tokens = max(e.Used, f.Used), f.Tokens
	if e.Used-e.reported < l.settings.Refresh {
		return
	}
	e.reported = e.Used
	if e.rounds == 0 {
		l.pending = append(l.pending, e)
	}
	e.rounds = l.settings.Rounds
}

// Report returns the facts for the next message to other processes.
func (l *Locator) Report() []Fact {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.pending), maxReported)
	out := make([]Fact, 0, n)
	var rest []*entry
	for i, e := range l.pending {
		if i < n {
			out = append(out, e.Fact)
			e.rounds--
		}
		if e.rounds > 0 {
			rest = append(rest, e)
		}
	}
	l.pending = rest
	return out
}

// Lost records that an engine does not hold a part any more.
func (l *Locator) Lost(part, engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.engines[engine], part)
}

// Holds reports whether an engine has used a part within the last maxAge.
func (l *Locator) Holds(part, engine string, maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.engines[engine][part]
	return ok && l.clock.Now()-e.Used < maxAge
}

// Holders returns the engines that have used a part within the last maxAge, the
// most recent use first.
func (l *Locator) Holders(part string, maxAge time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var found []*entry
	for _, parts := range l.engines {
		if e, ok := parts[part]; ok && now-e.Used < maxAge {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].Used != found[j].Used {
			return found[i].Used > found[j].Used
		}
		return found[i].Engine < found[j].Engine
	})
	out := make([]string, len(found))
	for i, e := range found {
		out[i] = e.Engine
	}
	return out
}

// Keep forgets all engines but those listed, and facts that are too old.
func (l *Locator) Keep(list []radishspoke.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
	}
	now := l.clock.Now()
	for id, parts := range l.engines {
		if !listed[id] {
			delete(l.engines, id)
			continue
		}
		for part, e := range parts {
			if now-e.Used > l.settings.MaxAge {
				delete(parts, part)
			}
		}
	}
}
