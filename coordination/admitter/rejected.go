package admitter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryTime is the time after the stated one within which a request that comes back counts
	// as the retry of a rejected one.
	retryTime = time.Second

	maxRejected = 8192 // requests that are remembered

	// sharedTime is the age up to which rejections are reported to other processes, and
	// maxShared their number in one report.
	sharedTime = time.Second
	maxShared  = 64
)

// mark identifies a rejected request in reports.
type mark uint32

// newMark returns the mark of the requests of a group with a fingerprint.
func newMark(group, fingerprint string) mark {
	return mark(xxhash.Sum64String(group + "\x00" + fingerprint))
}

// rejection is the newest rejection of the requests with one mark.
type rejection struct {
	due     time.Duration // from when on a request is the retry of the rejected one
	retries int           // how often the request has been rejected
}

// rejected remembers requests that were rejected here or at other processes, so that their
// retries go before new ones.
type rejected struct {
	list   map[mark]rejection
	recent []sharedMark // rejected here, the oldest first
	sweep  time.Duration
}

// sharedMark is the mark of a request that was rejected at a time.
type sharedMark struct {
	mark mark
	at   time.Duration
}

// look returns how often a request was rejected that comes back now, or 0 if it is new. A
// request that comes before the retry is due is another one that looks the same.
func (r *rejected) look(m mark, now time.Duration) int {
	e, ok := r.list[m]
	if !ok || now < e.due || now > e.due+maxRetryAfter+retryTime {
		return 0
	}
	return e.retries
}

// take is like look, for a request that does come back.
func (r *rejected) take(m mark, now time.Duration) int {
	n := r.look(m, now)
	if n > 0 {
		delete(r.list, m)
	}
	return n
}

// add records that a request was rejected here, how often by now, and when its retry is due.
func (r *rejected) add(m mark, retries int, now, due time.Duration) {
	r.recent = append(r.recent, sharedMark{m, now})
	if n := len(r.recent) - maxShared; n > 0 {
		r.recent = slices.Delete(r.recent, 0, n)
	}
	r.put(m, rejection{due, retries}, now)
}

// put records a rejection.
func (r *rejected) put(m mark, e rejection, now time.Duration) {
	if now >= r.sweep {
		r.sweep = now + time.Second
		for k, old := range r.list {
			if now > old.due+maxRetryAfter+retryTime {
				delete(r.list, k)
			}
		}
	}
	if _, ok := r.list[m]; ok || len(r.list) < maxRejected {
		r.list[m] = e
	}
}

// shared returns the marks of requests that were rejected here recently.
func (r *rejected) shared(now time.Duration) []uint32 {
	var out []uint32
	for _, s := range r.recent {
		if now-s.at <= sharedTime {
			out = append(out, uint32(s.mark))
		}
	}
	return out
}

// merge records requests that another process has rejected.
func (r *rejected) merge(marks []uint32, now time.Duration) {
	for _, m := range marks[:min(len(marks), maxShared)] {
		if _, ok := r.list[mark(m)]; !ok {
			r.put(mark(m), rejection{now + minRetryAfter, 1}, now)
		}
	}
}
