package soaker

import (
	"fmt"
	"sync"
	"time"
)

// Finding is a promise that was not kept.
type Finding struct {
	Promise string // see the package's doc
	Request string // id; empty if it concerns none
	Detail  string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: request %q: %s", f.Promise, f.Request, f.Detail)
}

// run is one time that a target ran a request.
type run struct {
	target string
	at     time.Time
}

// asked is a request as its caller knows it.
type asked struct {
	id, team, key, entry string
	most                 int  // times that it may run
	status               int  // of the answer; 0 if there was none
	own                  bool // the answer is the entry's own
}

// ledger has what callers asked and what targets ran. It is safe for use from
// many goroutines.
type ledger struct {
	mu        sync.Mutex
	runs      map[string][]run // by request
	asked     []asked
	withdrawn map[string]time.Time // keys that are, and since when
	findings  []Finding
	refused   int // answers that say that nothing ran
	served    int // whole answers of targets
}

func newLedger() *ledger {
	return &ledger{runs: map[string][]run{}, withdrawn: map[string]time.Time{}}
}

func (l *ledger) find(promise, request, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.findings = append(l.findings, Finding{promise, request, fmt.Sprintf(format, args...)})
}

func (l *ledger) ran(id, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], run{target, time.Now()})
}

func (l *ledger) note(a asked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, a)
}

// withdraw notes that a key is withdrawn from now on, or valid again.
func (l *ledger) withdraw(key string, withdrawn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if withdrawn {
		l.withdrawn[key] = time.Now()
	} else {
		delete(l.withdrawn, key)
	}
}

// overdue returns how long ago a key stopped to start work.
func (l *ledger) overdue(key string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.withdrawn[key]
	if !ok {
		return 0
	}
	return time.Since(at) - revokeTime
}

// notRun are the statuses by which an entry says that nothing ran.
var notRun = map[int]bool{400: true, 401: true, 404: true, 408: true, 413: true, 421: true, 429: true, 503: true}

// settle compares what callers were told with what ran, and returns all that was
// found.
func (l *ledger) settle() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.findings
	for _, a := range l.asked {
		runs := l.runs[a.id]
		if len(runs) > a.most {
			out = append(out, Finding{"twice", a.id, fmt.Sprintf("ran %d times, at %v, at most %d are allowed", len(runs), runs, a.most)})
		}
		if a.own && notRun[a.status] {
			l.refused++
			if len(runs) > 0 {
				out = append(out, Finding{"refused", a.id, fmt.Sprintf("entry %s answered %d, it ran at %v", a.entry, a.status, runs)})
			}
		}
		if a.status == 200 {
			l.served++
		}
	}
	return out
}
