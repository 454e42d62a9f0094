//go:build review

package player

import (
	"net/http"
	"strconv"
	"time"
)

// Hang makes the engine send nothing for a time.
func (e *Engine) Hang(d time.Duration) {
	e.mu.Lock()
	e.silentUntil = time.Now().Add(d)
	e.mu.Unlock()
	e.deployment.Record.Printf("engine %s: silent for %v", e.ID, d)
}

// awaitSound waits until the engine sends again, and returns false if the caller has left.
func (e *Engine) awaitSound(r *http.Request) bool {
	for {
		e.mu.Lock()
		left := time.Until(e.silentUntil)
		e.mu.Unlock()
		if left <= 0 {
			return true
		}
		select {
		case <-time.After(min(left, 20*time.Millisecond)):
		case <-r.Context().Done():
			return false
		}
	}
}

// firstEvent returns the number of the first event that a request asks for.
func firstEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return last + 1
}
