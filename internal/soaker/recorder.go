package soaker

import (
	"fmt"
	"sync"
	"time"
)

// Finding is a violation of a check. The checks are:
//
//   - mixed: a complete response belongs to its request, and a stream has each
//     event once and in order;
//   - twice: an unsafe request runs at most once, any other request at most as
//     often as its route allows;
//   - refused: a request that an entry reported as not run was never run;
//   - unasked: targets receive the team of the caller, but neither its key nor
//     a forged header;
//   - held: a response is complete within the time budget and half a second;
//   - revoked: a withdrawn key starts no work after the revocation time;
//   - lost: a planned stop of a process interrupts no request;
//   - one: a usage window has a single figure, and an engine takes orders from a
//     single holder;
//   - exit: a process exits only on request, and within its grace period;
//   - recover: after the last fault every entry serves every kind of request
//     again;
//   - soak: the soak test itself works.
type Finding struct {
	Check   string // name of the check
	Request string // request ID; empty if the finding concerns no single request
	Detail  string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: request %q: %s", f.Check, f.Request, f.Detail)
}

// execution is one run of a request by a target.
type execution struct {
	target string
	at     time.Time
}

// requestRecord is a request and its outcome, as seen by its caller.
type requestRecord struct {
	id, team, key, entry string
	maxRuns              int  // maximum number of executions
	status               int  // HTTP status; 0 without a response
	fromEntry            bool // the entry made the response, not a target
}

// recorder records the requests of callers, their executions by targets, and the
// findings. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	executions map[string][]execution // by request ID
	requests   []requestRecord
	withdrawn  map[string]time.Time // withdrawn keys and when they were withdrawn
	findings   []Finding
	refused    int // responses that report that the request was not run
	served     int // responses with status 200
}

func newRecorder() *recorder {
	return &recorder{executions: map[string][]execution{}, withdrawn: map[string]time.Time{}}
}

// addFinding adds a finding of the named check. The request may be empty.
func (r *recorder) addFinding(check, request, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{check, request, fmt.Sprintf(format, args...)})
}

// addExecution records that a target runs a request now.
func (r *recorder) addExecution(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[id] = append(r.executions[id], execution{target, time.Now()})
}

func (r *recorder) addRequest(q requestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// setWithdrawn records that a key is withdrawn from now on, or valid again.
func (r *recorder) setWithdrawn(key string, withdrawn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if withdrawn {
		r.withdrawn[key] = time.Now()
	} else {
		delete(r.withdrawn, key)
	}
}

// sinceRevocation returns the time since a withdrawn key must have stopped
// starting work. It is negative during the revocation time, and 0 for a key that
// is not withdrawn.
func (r *recorder) sinceRevocation(key string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.withdrawn[key]
	if !ok {
		return 0
	}
	return time.Since(at) - revokeTime
}

// notRunStatuses are the statuses by which an entry reports that a request was
// not run.
var notRunStatuses = map[int]bool{400: true, 401: true, 404: true, 408: true, 413: true, 421: true, 429: true, 503: true}

// evaluate compares the responses that callers received with the recorded
// executions. It returns all findings, counts refused and served requests, and
// must be called once only.
func (r *recorder) evaluate() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	findings := r.findings
	for _, q := range r.requests {
		runs := r.executions[q.id]
		if len(runs) > q.maxRuns {
			findings = append(findings, Finding{"twice", q.id, fmt.Sprintf("ran %d times, at %v, at most %d are allowed", len(runs), runs, q.maxRuns)})
		}
		if q.fromEntry && notRunStatuses[q.status] {
			r.refused++
			if len(runs) > 0 {
				findings = append(findings, Finding{"refused", q.id, fmt.Sprintf("entry %s answered %d, but it ran at %v", q.entry, q.status, runs)})
			}
		}
		if q.status == 200 {
			r.served++
		}
	}
	return findings
}
