package soaker

import (
	"sync"
	"time"
)

// lag measures how late this program itself is run, so that a busy host is not
// taken for a slow answer.
type lag struct {
	mu   sync.Mutex
	late []lateness
}

type lateness struct {
	at   time.Time
	late time.Duration
}

const (
	lagInterval = 10 * time.Millisecond
	leastLag    = 20 * time.Millisecond // that is worth noting
)

func (l *lag) run(stop <-chan struct{}) {
	for {
		began := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		if late := time.Since(began) - lagInterval; late > leastLag {
			l.mu.Lock()
			l.late = append(l.late, lateness{time.Now(), late})
			l.mu.Unlock()
		}
	}
}

// since returns the longest lag since a moment.
func (l *lag) since(t time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var most time.Duration
	for _, n := range l.late {
		if n.at.After(t) {
			most = max(most, n.late)
		}
	}
	return most
}
