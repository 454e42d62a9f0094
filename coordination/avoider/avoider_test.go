package avoider_test

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/avoider"
	"radishspoke/internal/simulator"
	"radishspoke/platform"
)

var saysLeaving = platform.EncodeAnswer(platform.AnswerHeader{Leaving: true}, "")

// TestLeaving checks whose answers count, and for how long.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: time.Hour}
	a := avoider.New(clock, slog.New(slog.DiscardHandler))
	first := radishspoke.Instance{ID: "e", StartTime: time.UnixMilli(1)}
	again := radishspoke.Instance{ID: "e", StartTime: time.UnixMilli(2)}
	a.Keep([]radishspoke.Instance{first})
	a.Observe("e", http.StatusMisdirectedRequest, saysLeaving) // of another instance at the address
	a.Observe("", http.StatusOK, saysLeaving)
	a.Observe("e", http.StatusOK, http.Header{})
	c.Assert(a.Avoids("e"), qt.IsFalse)
	a.Observe("e", http.StatusServiceUnavailable, saysLeaving)
	c.Assert(a.Avoids("e"), qt.IsTrue)
	a.Observe("e", http.StatusOK, http.Header{})
	a.Keep([]radishspoke.Instance{first})
	clock.At += time.Hour
	a.Keep([]radishspoke.Instance{first})
	c.Assert(a.Avoids("e"), qt.IsTrue)
	a.Keep([]radishspoke.Instance{again}) // it has started again with its id
	c.Assert(a.Avoids("e"), qt.IsFalse)
}

// TestLeavingWithoutStore checks that a target that is not listed for a while, as after an
// outage of the store, is still avoided when it is back.
func TestLeavingWithoutStore(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: time.Hour}
	a := avoider.New(clock, slog.New(slog.DiscardHandler))
	e := radishspoke.Instance{ID: "e", StartTime: time.UnixMilli(1)}
	a.Observe("e", http.StatusOK, saysLeaving) // before the first list
	a.Keep([]radishspoke.Instance{e})
	a.Keep(nil)
	clock.At += 10 * time.Second
	a.Keep([]radishspoke.Instance{e})
	c.Assert(a.Avoids("e"), qt.IsTrue)
	a.Keep(nil)
	clock.At += time.Hour
	a.Keep(nil)
	c.Assert(a.Avoids("e"), qt.IsFalse)
}

// TestPause checks that a pause ends by its time, and that the longest counts.
func TestPause(t *testing.T) {
	c := qt.New(t)
	clock := &simulator.ManualClock{At: time.Hour}
	a := avoider.New(clock, slog.New(slog.DiscardHandler))
	pause := func(d time.Duration) http.Header { return platform.EncodeAnswer(platform.AnswerHeader{Pause: d}, "") }
	a.Observe("e", http.StatusServiceUnavailable, pause(3*time.Second))
	a.Observe("e", http.StatusServiceUnavailable, pause(time.Second))
	c.Assert(a.Avoids("e"), qt.IsTrue)
	left, ok := a.Pause("e")
	c.Assert(ok, qt.IsTrue)
	c.Assert(left, qt.Equals, 3*time.Second)
	clock.At += 3 * time.Second
	c.Assert(a.Avoids("e"), qt.IsFalse)
	_, ok = a.Pause("e")
	c.Assert(ok, qt.IsFalse)
}
