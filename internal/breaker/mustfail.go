//go:build breakage

package breaker

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// seeds is how many seeds a property is tried with, in order, until it fails.
// Some need thousands of schedules: of twenty seeds two missed broken votes.
const seeds = 8

// MustFail runs a property and fails the test if the property holds. The draws
// are the same on every run.
func MustFail(t *testing.T, property func(t rapid.TB, r *rapid.T)) {
	t.Helper()
	_ = flag.Set("rapid.nofailfile", "true")
	defer func() { _ = flag.Set("rapid.seed", "1") }() // as package checker has it
	for seed := 1; seed <= seeds; seed++ {
		_ = flag.Set("rapid.seed", strconv.Itoa(seed)) // the flag exists
		failed := Catch(t, func(c testing.TB) {
			rapid.Check(c, func(r *rapid.T) { property(r, r) })
		})
		if failed {
			return
		}
	}
	t.Fatal("the property holds although the mechanism is broken")
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
