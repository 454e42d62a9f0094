package fake

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"radishspoke/platform"
)

// Reservations is the room of an engine of the external platform: a number of slots, of which
// callers may reserve some for a time. It is safe for concurrent use.
type Reservations struct {
	Slots    int
	Longest  time.Duration // longest time of a reservation; 0 if none are taken
	Slowness float64       // stated with the load; 0 for none

	mu      sync.Mutex
	running int
	held    map[string]time.Time // end of each reservation, by id
	counts  ReservationCounts
}

// ReservationCounts counts what has happened at an engine.
type ReservationCounts struct {
	Taken, Refused, Dropped, Used, Expired int // reservations
	Full                                   int // requests that were refused for want of room
}

// Add returns the sums of two counts.
func (n ReservationCounts) Add(m ReservationCounts) ReservationCounts {
	return ReservationCounts{
		Taken: n.Taken + m.Taken, Refused: n.Refused + m.Refused, Dropped: n.Dropped + m.Dropped,
		Used: n.Used + m.Used, Expired: n.Expired + m.Expired, Full: n.Full + m.Full,
	}
}

// expire forgets the reservations that have ended. The caller holds the lock.
func (s *Reservations) expire() {
	for id, end := range s.held {
		if !time.Now().Before(end) {
			delete(s.held, id)
			s.counts.Expired++
		}
	}
}

// Begin takes a slot for a request that presents the reservation with the given id, or none if
// it is empty. It returns false if there is no room.
func (s *Reservations) Begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.held[id]; ok {
		delete(s.held, id)
		s.counts.Used++
	} else if s.running+len(s.held) >= s.Slots {
		s.counts.Full++
		return false
	}
	s.running++
	return true
}

// End frees the slot of a request.
func (s *Reservations) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Load returns the load as the engine states it. Reserved slots count as running.
func (s *Reservations) Load() platform.AnswerHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return platform.AnswerHeader{Running: s.running + len(s.held), Slots: s.Slots, Slowness: s.Slowness}
}

// Counts returns the counts so far.
func (s *Reservations) Counts() ReservationCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.counts
}

// Respond returns the response to a call that takes or drops a reservation, and false for any
// other request.
func (s *Reservations) Respond(r *http.Request, body []byte) (*TargetResponse, bool) {
	if id, ok := platform.DecodeHoldPath(r.URL.Path); ok && r.Method == http.MethodDelete {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.held[id]; ok {
			delete(s.held, id)
			s.counts.Dropped++
		}
		return &TargetResponse{Status: http.StatusOK}, true
	}
	if r.URL.Path != platform.HoldTakePath {
		return nil, false
	}
	if s.Longest == 0 {
		return &TargetResponse{Status: http.StatusNotFound}, true
	}
	q, err := platform.DecodeHoldRequest(body)
	if err != nil || q.Lifetime > s.Longest {
		return &TargetResponse{Status: http.StatusBadRequest}, true
	}
	id, ok := s.take(q.Lifetime)
	out := &TargetResponse{Status: http.StatusServiceUnavailable, Header: platform.EncodeAnswer(s.Load(), "")}
	if data, err := platform.EncodeHold(id); ok && err == nil {
		out.Status, out.Body = http.StatusOK, string(data)
	}
	return out, true
}

// take reserves a slot, if one is free.
func (s *Reservations) take(lifetime time.Duration) (id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.running+len(s.held) >= s.Slots {
		s.counts.Refused++
		return "", false
	}
	if s.held == nil {
		s.held = map[string]time.Time{}
	}
	s.counts.Taken++
	id = fmt.Sprintf("hold-%d", s.counts.Taken)
	s.held[id] = time.Now().Add(lifetime)
	return id, true
}
