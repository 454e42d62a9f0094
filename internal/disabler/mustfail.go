//go:build breakage

package disabler

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// seeds is the maximum number of seeds with which a property is checked until it
// fails. One seed may not be enough, as some failures show only after thousands of
// schedules: with ExclusiveVotes disabled, the property held with two of twenty
// seeds.
const seeds = 8

// MustFail checks a property with the seeds 1, 2 and so on until it fails, and fails
// the test if the property holds with all of the seeds. The seeds are fixed, so that
// every run draws the same values.
func MustFail(t *testing.T, property func(t rapid.TB, r *rapid.T)) {
	t.Helper()
	_ = flag.Set("rapid.nofailfile", "true")
	defer func() { _ = flag.Set("rapid.seed", "1") }() // the default that package checker sets
	for seed := 1; seed <= seeds; seed++ {
		_ = flag.Set("rapid.seed", strconv.Itoa(seed)) // fails only if the flag is not defined
		failed := Catch(t, func(tb testing.TB) {
			rapid.Check(tb, func(r *rapid.T) { property(r, r) })
		})
		if failed {
			return
		}
	}
	t.Fatal("the property holds with all seeds although the mechanism is disabled")
}

// Catch calls f and returns whether f failed the test that it was given. The test
// t does not fail.
func Catch(t testing.TB, f func(testing.TB)) (failed bool) {
	c := &recorder{TB: t}
	defer func() {
		if r := recover(); r != nil && !c.failed {
			panic(r)
		}
		failed = c.failed
	}()
	f(c)
	return c.failed
}

// recorder is a testing.TB that records a failure and does not fail the test.
type recorder struct {
	testing.TB
	failed bool
}

// failNow is the panic value that ends a test function after FailNow.
type failNow struct{}

func (r *recorder) Fail()                   { r.failed = true }
func (r *recorder) FailNow()                { r.failed = true; panic(failNow{}) }
func (r *recorder) Failed() bool            { return r.failed }
func (r *recorder) Error(...any)            { r.failed = true }
func (r *recorder) Errorf(string, ...any)   { r.failed = true }
func (r *recorder) Fatal(...any)            { r.FailNow() }
func (r *recorder) Fatalf(string, ...any)   { r.FailNow() }
func (r *recorder) Logf(f string, a ...any) { r.TB.Logf(f, a...) }
