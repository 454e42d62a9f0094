package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Finding is a violation of a check. The checks are:
//
//   - mixed: a complete response belongs to its request, and so does the body that
//     a target receives; a stream has each event once and in order;
//   - twice: an unsafe request runs at most once, any other request at most as
//     often as its route allows;
//   - refused: a request that an entry reported as not run was never run;
//   - unasked: targets receive the team of the caller, but neither its key nor
//     a forged team header;
//   - held: a response is complete at most 500 ms (budgetSlack) after the end of
//     the time budget of the request, and later only by the time for which the entry
//     waited for a processor;
//   - revoked: no request with a key that was withdrawn more than 5 s (revokeTime)
//     ago is sent to a target;
//   - stale: no entry refuses a key that was added to the configuration more than 2 s
//     (changeTime) ago, while another entry could read it; the time is longer by that for which
//     the entry waited for a processor;
//   - lost: a planned stop of a process interrupts no request;
//   - cut: no answer is broken off or replaced by a failure before the end of its time budget
//     while a target that has got the request is sound, even if that is silent for a while;
//   - evac: no request reaches a target in a zone that was evacuated more than 5 s (evacuateTime)
//     ago, through processes that were not disturbed;
//   - gone: no request reaches a sound target later than 500 ms (goneTime) after its caller has left;
//   - one: all usage reports of a window are equal, their fences don't fall and have one holder
//     each, no two holders report in the order A, B, A within leaseTime, and an engine receives
//     orders from a single lease holder;
//   - crash: no more than three requests with a part that crashes engines reach engines
//     later than 3 s after the fifth crash, through entries that were not disturbed;
//   - exit: a process exits only after SIGTERM or SIGKILL, and after SIGTERM within
//     its grace period and without an error; the grace period is longer by the time for
//     which the process waited for a processor;
//   - recover: after the last fault every entry serves every kind of request
//     again;
//   - soak: the soak test itself runs without errors.
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
	sent                 time.Time
	maxRuns              int  // maximum number of targets that run the request; with 1, it runs once
	status               int  // HTTP status; 0 if no response header was received
	fromEntry            bool // the entry made the response, not a target
	complete             bool // the response is complete
	resumes              bool // the request resumes a stream
}

// recorder records the requests of callers, their executions by targets, and the
// findings. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex
	executions  map[string][]execution // by request ID
	arrived     map[string]bool        // by ID, requests for an answer that a target received
	requests    []requestRecord
	withdrawn   map[string]time.Time // withdrawn keys and when they were withdrawn
	withdrawals map[string]time.Time // last withdrawal of a key, also of one that is valid again
	findings    []Finding
	refused     map[int]int // by status, responses that report that the request was not run
	refusedLate int         // those of them whose request a target had received
	resumptions map[int]int // by status, requests that resume a stream
	served      int         // responses with status 200, also if the body was incomplete
	kept        int         // complete responses whose key was withdrawn after their request had been sent
	delayed     int         // requests and exits that were late by scheduling delays
}

func newRecorder() *recorder {
	return &recorder{
		executions: map[string][]execution{}, arrived: map[string]bool{}, withdrawn: map[string]time.Time{}, withdrawals: map[string]time.Time{},
		refused: map[int]int{}, resumptions: map[int]int{},
	}
}

// addFinding adds a finding of the named check. The request may be empty.
func (r *recorder) addFinding(check, request, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{check, request, fmt.Sprintf(format, args...)})
}

// addDelayed records that a request or an exit was late, but only by scheduling delays.
func (r *recorder) addDelayed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delayed++
}

// addExecution records that a target runs a request now.
func (r *recorder) addExecution(id, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[id] = append(r.executions[id], execution{target, time.Now()})
}

// addArrival records that a target has received a request for an answer.
func (r *recorder) addArrival(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived[id] = true
}

// addRequest records a request whose response has ended.
func (r *recorder) addRequest(q requestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
	if q.complete && q.status == http.StatusOK && r.withdrawals[q.key].After(q.sent) {
		r.kept++
	}
}

// withdrawnAfter returns how long after the time sent a key was withdrawn, also if it is valid again,
// and false if it was not.
func (r *recorder) withdrawnAfter(key string, sent time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	after := r.withdrawals[key].Sub(sent)
	return after, after > 0
}

// setWithdrawn records that a key is withdrawn from now on, or valid again.
func (r *recorder) setWithdrawn(key string, withdrawn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if withdrawn {
		r.withdrawn[key] = time.Now()
		r.withdrawals[key] = r.withdrawn[key]
	} else {
		delete(r.withdrawn, key)
	}
}

// sinceRevocation returns how long ago the revocation time of a withdrawn key ended.
// After its end, no request with the key may start. The result is negative before
// the end, and 0 for a key that is not withdrawn.
func (r *recorder) sinceRevocation(key string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.withdrawn[key]
	if !ok {
		return 0
	}
	return time.Since(at) - revokeTime
}

// notRunStatuses are the HTTP statuses with which an entry reports that a request
// was not run.
var notRunStatuses = map[int]bool{400: true, 401: true, 404: true, 408: true, 413: true, 421: true, 429: true, 503: true}

// evaluate compares the responses that callers received with the recorded
// executions, and counts the served and the refused requests and those that resume streams.
// It returns all findings, including those added before. It must be called only once.
func (r *recorder) evaluate() []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	findings := r.findings
	for _, q := range r.requests {
		runs := r.executions[q.id]
		if targets, most := countTargets(runs); targets > q.maxRuns || most > maxRunsAtTarget || q.maxRuns == 1 && len(runs) > 1 {
			findings = append(findings, Finding{"twice", q.id, fmt.Sprintf("request ran %d times, at %v, want at most %d targets", len(runs), runs, q.maxRuns)})
		}
		if q.resumes {
			r.resumptions[q.status]++
		}
		if q.fromEntry && notRunStatuses[q.status] {
			r.refused[q.status]++
			if r.arrived[q.id] {
				r.refusedLate++
			}
			if len(runs) > 0 {
				findings = append(findings, Finding{"refused", q.id, fmt.Sprintf("entry %s responded with status %d, but the request ran at %v", q.entry, q.status, runs)})
			}
		}
		if q.status == 200 {
			r.served++
		}
	}
	return findings
}

// maxRunsAtTarget is the maximum number of executions of a request at one target: a request whose
// target was silent may return there.
const maxRunsAtTarget = 2

// countTargets returns the number of targets that have run a request, and the maximum number of
// executions at one of them.
func countTargets(runs []execution) (targets, most int) {
	counts := map[string]int{}
	for _, e := range runs {
		counts[e.target]++
		most = max(most, counts[e.target])
	}
	return len(counts), most
}

// ranAt reports whether the target instance has begun to run a request.
func (r *recorder) ranAt(id, target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.executions[id], func(e execution) bool { return e.target == target })
}
