package quarantiner

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// Decision tells whether a request may be sent to a target.
type Decision struct {
	Admitted bool
	Trial    bool // the request is tried again: it may be sent once

	// Key is the key for which the request is refused, and After the time until it may be
	// tried again.
	Key   Key
	After time.Duration
}

// Admit returns whether a request may be sent to a target. If not, it returns the key for which
// the request is refused and the time until it may be tried again. A request that is tried
// again is admitted with trial set, and may then be sent once.
func (q *Quarantiner) Admit(s Subject) (d Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.quarantined) == 0 && len(q.trials) == 0 {
		return Decision{Admitted: true}
	}
	now := q.clock.Now()
	for _, k := range s.keys() {
		if until, found := q.quarantined[k]; found && now >= until {
			q.evaluate(now)
			break
		}
	}
	var tried []Key
	for _, k := range s.keys() {
		if until, found := q.quarantined[k]; found {
			return Decision{Key: k, After: until - now}
		}
		if _, found := q.trials[k]; found {
			tried = append(tried, k)
		}
	}
	for _, k := range tried {
		if after, ok := q.trials[k].admit(k, now, q.settings.Process, q.peers()); !ok {
			return Decision{Key: k, After: after}
		}
	}
	return Decision{Admitted: true, Trial: len(tried) > 0}
}

// Refuses returns the key for which a request that has been admitted must not be sent any more,
// and the time until it may be tried again. It returns false if it may be sent.
func (q *Quarantiner) Refuses(s Subject) (k Key, after time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, k := range s.keys() {
		if until, found := q.quarantined[k]; found && now < until {
			return k, until - now, true
		}
	}
	return Key{}, 0, false
}

const (
	// trialInterval is the time in which each chosen process may send one request with a
	// suspected key. It exceeds the time in which a crash is noticed and passed on.
	trialInterval = time.Second

	// trialRounds is the number of intervals after which the number of chosen processes
	// doubles, as the requests with the key may come to other processes.
	trialRounds = 5

	maxTrialDoublings = 16
)

// trial is the state of a key that is suspected beside others and no longer refused.
type trial struct {
	since time.Duration // end of the quarantine
	used  time.Duration // start of the last interval in which this process has sent a request
	ever  bool          // used is set
}

// admit reports whether a request with the key may be sent now, and otherwise the time until
// the next interval. If so, no other one may be sent by this process in the interval.
func (t *trial) admit(k Key, now time.Duration, process string, peers radishspoke.Peers) (after time.Duration, ok bool) {
	n := max(0, now-t.since) / trialInterval
	start := t.since + n*trialInterval
	after = start + trialInterval - now
	if t.ever && t.used >= start {
		return after, false
	}
	if peers.Count() > len(peers.List)+1 {
		return after, false // one of those that are not known may be chosen
	}
	chosen := 1 << min(int(n/trialRounds), maxTrialDoublings)
	own := rank(k, int64(n), process)
	for _, p := range peers.List {
		if rank(k, int64(n), p.Process) > own {
			chosen--
		}
	}
	if chosen <= 0 {
		return after, false
	}
	t.used, t.ever = start, true
	return 0, true
}

// rank returns the weight of a process for a key in an interval, for rendezvous hashing.
func rank(k Key, interval int64, process string) uint64 {
	return xxhash.Sum64String(k.Group + "/" + k.String() + "/" + strconv.FormatInt(interval, 10) + "/" + process)
}
