package ticker

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"radishspoke"
)

// BootClock reads CLOCK_BOOTTIME. The zero value is ready to use.
type BootClock struct{}

// Now returns the time since the host booted. It panics if the host does not have
// this clock.
func (BootClock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("ticker: clock_gettime: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// MonotonicClock reads Go's monotonic clock, which is simulated inside a
// synctest bubble. Create one with NewMonotonicClock.
type MonotonicClock struct{ start time.Time }

// NewMonotonicClock returns a MonotonicClock that starts at one hour, so that times
// shortly before its creation are positive.
func NewMonotonicClock() *MonotonicClock { return &MonotonicClock{start: time.Now().Add(-time.Hour)} }

// Now returns the time since one hour before the clock was created.
func (c *MonotonicClock) Now() time.Duration { return time.Since(c.start) }

// Timers implements radishspoke.Timers with the time of a clock.
type Timers struct{ radishspoke.Clock }

// New returns Timers that read c.
func New(c radishspoke.Clock) *Timers { return &Timers{Clock: c} }

// Every returns a channel on which a tick is sent every period, and a function that
// stops the ticks and must be called once. A tick is dropped if the previous one has
// not been received yet. Every panics if period is not positive.
func (s *Timers) Every(period time.Duration) (<-chan radishspoke.Tick, func()) {
	out := make(chan radishspoke.Tick, 1)
	stop := make(chan struct{})
	done := make(chan struct{})
	t := time.NewTicker(period)
	go func() {
		defer close(done)
		defer t.Stop()
		last := s.Now()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			now := s.Now()
			tick := radishspoke.Tick{At: now, Delay: max(0, now-last-period)}
			last = now
			select {
			case out <- tick:
			default:
			}
		}
	}()
	return out, func() {
		close(stop)
		<-done
	}
}

// Each calls f on each tick of a timer with the given period until ctx ends. If f
// takes longer than a period, some ticks are dropped.
func Each(ctx context.Context, t radishspoke.Timers, period time.Duration, f func()) {
	ticks, stop := t.Every(period)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			f()
		}
	}
}

// Sleep waits for d, or until ctx ends. It returns whether d has elapsed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
