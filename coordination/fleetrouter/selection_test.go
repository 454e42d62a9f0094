package fleetrouter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
)

// versioned returns decode engines, one for each of the given software versions.
func versioned(versions ...string) []radishspoke.Instance {
	list := engines(0, len(versions))
	for i := range list {
		list[i].Software = versions[i]
	}
	return list
}

// TestSelection checks that only targets of the wanted software version are chosen.
func TestSelection(t *testing.T) {
	c := qt.New(t)
	r, _ := newRouter(1, "z0", versioned("v1", "v2", "v1", "v2"))
	for range 50 {
		e, err := r.PickShort("g", fleetrouter.Selection{Software: "v2"})
		c.Assert(err, qt.IsNil)
		c.Assert(e.Software, qt.Equals, "v2")
	}
	_, err := r.PickDecode("g", "z0", fleetrouter.Selection{Software: "v2", Exclude: map[string]bool{"e1": true, "e3": true}})
	c.Assert(err, qt.ErrorIs, fleetrouter.ErrNoTarget)
	_, err = r.PickPlain("g", fleetrouter.Selection{Software: "v3"})
	c.Assert(err, qt.ErrorIs, fleetrouter.ErrNoTarget)
	c.Assert(r.DecodeSaturated("g", "v1"), qt.IsFalse)
	c.Assert(r.DecodeSaturated("g", "v3"), qt.IsTrue)
}

// Guards against LOST of issue 34: new streams began at the only engine of a version, and
// could not be resumed after it had failed.
func TestStreamsBeginWhereTheyCanBeResumed(t *testing.T) {
	c := qt.New(t)
	r, _ := newRouter(1, "z0", versioned("v1", "v2", "v2"))
	for range 50 {
		e, err := r.PickShort("g", fleetrouter.Selection{})
		c.Assert(err, qt.IsNil)
		c.Assert(e.Software, qt.Equals, "v2")
	}
	for _, id := range []string{"e1", "e2"} { // requests wait there
		r.Begin(id)
		r.End(id, fleetrouter.Report{Waiting: 5, Slots: 8})
	}
	e, err := r.PickShort("g", fleetrouter.Selection{})
	c.Assert(err, qt.IsNil)
	c.Assert(e.Software, qt.Equals, "v1")
	alone, _ := newRouter(1, "z0", versioned("v1", "v2"))
	_, err = alone.PickShort("g", fleetrouter.Selection{})
	c.Assert(err, qt.IsNil)
}

// TestSelectionAmong checks that only the given targets answer a request.
func TestSelectionAmong(t *testing.T) {
	c := qt.New(t)
	r, _ := newRouter(1, "z0", versioned("v1", "v1", "v1"))
	for range 50 {
		e, err := r.PickShort("g", fleetrouter.Selection{Among: []string{"e0", "e2"}, Exclude: map[string]bool{"e0": true}})
		c.Assert(err, qt.IsNil)
		c.Assert(e.ID, qt.Equals, "e2")
	}
	_, err := r.PickDecode("g", "z0", fleetrouter.Selection{Among: []string{"e0"}, Exclude: map[string]bool{"e0": true}})
	c.Assert(err, qt.ErrorIs, fleetrouter.ErrNoTarget)
}
