package parser_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/examples"
	"radishspoke/state/parser"
)

func noEnv(string) (string, bool) { return "", false }

func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	sizes := map[string][2]int{"nour-festons.ini": {12, 5}, "thunder-bay.ini": {14, 5}}
	for name, size := range sizes {
		data, err := examples.Files.ReadFile(name)
		c.Assert(err, qt.IsNil)
		v, err := parser.ParseInventory(name, data)
		c.Assert(err, qt.IsNil)
		c.Assert([2]int{len(v.Targets), len(v.Teams)}, qt.Equals, size)
		c.Assert(v.Zones, qt.HasLen, 3)
	}
	for _, name := range []string{"entry.ini", "sidecar.ini"} {
		data, err := examples.Files.ReadFile(name)
		c.Assert(err, qt.IsNil)
		_, err = parser.ParseSettings(name, data, noEnv)
		c.Assert(err, qt.IsNil)
	}
}

func TestInventoryFaults(t *testing.T) {
	c := qt.New(t)
	text := `[zone a]
[host h]
zone = b
[target t]
host = h
kind = engin
address = localhost:80
sidecar = 127.0.0.1:99999
[team x]
rate = -1
burst = many
wieght = 2
[team x]
order = 1
[route r]
path = chat
kind = service
group = ledger
deadline = 2h
[rules]
retry-budget = 1.5
stray
[tteam y]
`
	_, err := parser.ParseInventory("fleet.ini", []byte(text))
	var faults parser.Errors
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	want := `fleet.ini:3: [host h] zone: zone "b" does not exist, did you mean "a"?
fleet.ini:6: [target t] kind: "engin" is not one of engine, service, did you mean "engine"?
fleet.ini:7: [target t] address: "localhost" is not an IP address
fleet.ini:8: [target t] sidecar: "99999" is not a port
fleet.ini:10: [team x] rate: -1 is below the minimum, 0.001
fleet.ini:11: [team x] burst: "many" is not a number
fleet.ini:12: [team x] wieght: key does not exist, did you mean "weight"?
fleet.ini:13: [team x] section is already defined at line 9
fleet.ini:16: [route r] path: "chat" does not start with /
fleet.ini:18: [route r] group: target of group "ledger" does not exist
fleet.ini:19: [route r] deadline: 2h is above the maximum, 3600
fleet.ini:21: [rules] retry-budget: 1.5 is above the maximum, 1
fleet.ini:22: [rules] "stray" is not of the form key = value
fleet.ini:23: [tteam y] section kind "tteam" does not exist, did you mean "team"?`
	c.Assert(err.Error(), qt.Equals, want)
}

func TestSettingsFaults(t *testing.T) {
	c := qt.New(t)
	text := "[process]\nnam = e\n[platfrom]\n[sessions]\naddress = 127.0.0.1:1\nprobe-interval = fast\n[operators]\naddress = 127.0.0.1:2\n"
	_, err := parser.ParseSettings("e.ini", []byte(text), noEnv)
	c.Assert(err, qt.ErrorMatches, `(?s)e.ini:0: \[platform\] address: value is missing
e.ini:1: \[process\] name: value is missing
e.ini:1: \[process\] zone: value is missing
e.ini:2: \[process\] nam: key does not exist, did you mean "name"\?
e.ini:3: \[platfrom\] section does not exist, did you mean "platform"\?
e.ini:6: \[sessions\] probe-interval: "fast" is not a duration such as 250ms or 30s`)
}

func TestEnvironmentOverrides(t *testing.T) {
	c := qt.New(t)
	data, err := examples.Files.ReadFile("entry.ini")
	c.Assert(err, qt.IsNil)
	env := func(name string) (string, bool) { return "250ms", name == "RADISHSPOKE_SESSIONS_PROBE_INTERVAL" }
	s, err := parser.ParseSettings("entry.ini", data, env)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Sessions.ProbeInterval, qt.Equals, 250*time.Millisecond)
}

func ExampleParseInventory() {
	_, err := parser.ParseInventory("fleet.ini", []byte("[team stalls]\nrate = 100\nburts = 500\n"))
	fmt.Println(err)
	// Output:
	// fleet.ini:1: [team stalls] burst: value is missing
	// fleet.ini:3: [team stalls] burts: key does not exist, did you mean "burst"?
}

func FuzzInventory(f *testing.F) {
	for _, name := range []string{"nour-festons.ini", "thunder-bay.ini"} {
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := parser.ParseInventory("fuzz", data)
		if err != nil {
			return
		}
		for _, e := range v.Targets {
			if e.Zone == "" {
				t.Fatalf("target %s of a valid inventory has no zone", e.Name)
			}
		}
	})
}
