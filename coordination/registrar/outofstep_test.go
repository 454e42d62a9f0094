package registrar_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/coordination/registrar"
)

// TestEntryOutOfStep guards against ORDER of issue 41: an entry whose list of targets is old
// takes streams that began at a newer software version for those of the only version it knows.
func TestEntryOutOfStep(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	for range 6 {
		f.add("v1")
	}
	f.spread()
	late, _ := f.process()
	f.clock.advance(time.Minute)
	for range 6 {
		f.add("v2")
	}
	f.spread()
	other, _ := f.process()
	var keys []registrar.Key
	for n := range 1000 {
		k := registrar.NewKey("t", fmt.Sprint("s", n))
		keys = append(keys, k)
		other.Begin(k, registrar.Version{Group: group, Software: "v2"}, time.Minute)
	}
	f.clock.advance(3 * time.Second)
	joined := 0
	for _, k := range keys {
		v, err := late.Find(t.Context(), k, group, 10*time.Second)
		if err != nil {
			c.Assert(err, qt.ErrorIs, registrar.ErrUnknown)
		} else if v.Software != "v2" {
			joined++
		}
	}
	c.Assert(joined, qt.Equals, 0)
}
