//go:build breakage

package breaker

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// MustFail runs a property and fails the test if the property holds.
func MustFail(t *testing.T, property func(t rapid.TB, r *rapid.T)) {
	t.Helper()
	_ = flag.Set("rapid.nofailfile", "true")
	failed := Catch(t, func(c testing.TB) {
		rapid.Check(c, func(r *rapid.T) { property(r, r) })
	})
	if !failed {
		t.Fatal("the property holds although the mechanism is broken")
	}
}

// Catch runs f and tells whether it failed the test that it was given.
func Catch(t testing.TB, f func(testing.TB)) (failed bool) {
	c := &catcher{TB: t}
	defer func() {
		if r := recover(); r != nil && !c.failed {
			panic(r)
		}
		failed = c.failed
	}()
	f(c)
	return c.failed
}

// catcher notes a failure in place of failing the test.
type catcher struct {
	testing.TB
	failed bool
}

type caught struct{}

func (c *catcher) Fail()                   { c.failed = true }
func (c *catcher) FailNow()                { c.failed = true; panic(caught{}) }
func (c *catcher) Failed() bool            { return c.failed }
func (c *catcher) Error(...any)            { c.failed = true }
func (c *catcher) Errorf(string, ...any)   { c.failed = true }
func (c *catcher) Fatal(...any)            { c.FailNow() }
func (c *catcher) Fatalf(string, ...any)   { c.FailNow() }
func (c *catcher) Logf(f string, a ...any) { c.TB.Logf(f, a...) }
