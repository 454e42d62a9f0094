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
	for _, cutOff := range []bool{false, true} {
		c := qt.New(t)
		f := newFleet(1, 0)
		for range 6 {
			f.add("v1")
		}
		f.spread()
		late, _, list := f.processWithList()
		f.clock.advance(time.Minute)
		list.still, list.cutOff = f.clock.Now(), cutOff
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
		joined, found := 0, 0
		for _, k := range keys {
			v, err := late.Find(t.Context(), k, group, 10*time.Second)
			switch {
			case err != nil:
				c.Assert(err, qt.ErrorIs, registrar.ErrUnknown)
			case v.Software == "v2":
				found++
			default:
				joined++
			}
		}
		c.Assert(joined, qt.Equals, 0, qt.Commentf("cut off: %v", cutOff))
		c.Assert(cutOff || found == len(keys), qt.IsTrue, qt.Commentf("%d found", found)) // records are there
	}
}

// TestVersionBetweenTwoReads guards against ORDER of issue 41: an entry stood still while a
// version came and left, and takes its streams for those of the version that stayed.
func TestVersionBetweenTwoReads(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 0)
	for range 4 {
		f.add("v1")
	}
	f.spread()
	late, _, list := f.processWithList()
	f.clock.advance(time.Minute)
	list.still = f.clock.Now()
	for range 4 {
		f.add("v2")
	}
	other, _ := f.process()
	k := registrar.NewKey("t", "s")
	other.Begin(k, registrar.Version{Group: group, Software: "v2"}, time.Minute)
	for range 8 {
		f.kill(len(f.list) - 1) // with all records
	}
	for range 4 {
		f.add("v1")
	}
	f.clock.advance(5 * time.Second)
	_, err := late.Find(t.Context(), k, group, 10*time.Second)
	c.Assert(err, qt.ErrorIs, registrar.ErrUnknown)
	f.clock.advance(10 * time.Second) // the stream can't have lasted for so long
	v, err := late.Find(t.Context(), registrar.NewKey("t", "later"), group, 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(v.Software, qt.Equals, "v1")
}
