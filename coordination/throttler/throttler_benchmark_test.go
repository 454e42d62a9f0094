package throttler_test

import (
	"testing"
	"time"
)

// BenchmarkSecond measures the permits of one target for one second, with a look at it each
// 10 ms, at one of 103 processes.
func BenchmarkSecond(b *testing.B) {
	s := newSenders(103, 1)
	for i := range s.demand {
		s.demand[i] = 2
	}
	s.run(contact, 20)
	p := s.processes[0]
	for b.Loop() {
		for range 100 {
			s.clock.At += 10 * time.Millisecond
			p.Admits("e")
		}
	}
}
