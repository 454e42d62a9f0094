// Command faults writes docs/FAULTS.md, the table of injected faults, from the
// results of the tests of package assembler. It reads the output of go test -json
// from standard input:
//
//	go test -json ./internal/assembler | go run ./cmd/faults > docs/FAULTS.md
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// protocol is a protocol or an operation of the system that is tested under faults.
// The document has a section for each.
type protocol struct {
	name string // heading in the document
	test string // test that has a subtest for each fault
}

// protocols lists the protocols in the order of the document.
var protocols = []protocol{
	{"streamed answer, in its middle", "TestWholeAnswers"},
	{"planned stop under traffic", "TestPlannedStops"},
	{"order to a ledger, sent and running", "TestEffectsOnce"},
	{"order with an idempotency key", "TestOneExecutionForAKey"},
	{"budget, at five times the rate", "TestLimitUnderFaults"},
	{"rights to budgets", "TestOneOwner"},
	{"withdrawal of a key", "TestWithdrawnKey"},
	{"usage and reports", "TestUsageOnce"},
	{"rollout of a model's version", "TestRollout"},
}

// event is a line of the output of go test -json.
type event struct {
	Action string
	Test   string
}

func main() {
	results, err := read(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
	write(os.Stdout, results)
}

// read returns the results of the tests by name: "pass", "fail" or "skip".
func read(r io.Reader) (map[string]string, error) {
	out := map[string]string{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		var e event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("decode test event %q: %w", s.Text(), err)
		}
		switch e.Action {
		case "pass", "fail", "skip":
			out[e.Test] = e.Action
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read test events: %w", err)
	}
	return out, nil
}

// maxLine is the maximum length of an event, in bytes.
const maxLine = 1 << 20

// write writes the document.
func write(w io.Writer, results map[string]string) {
	fmt.Fprint(w, "# Faults\n\nWritten by `go test -json ./internal/assembler | go run ./cmd/faults`. Each row is a\n"+
		"fault struck while whole processes work, on a network in memory and in virtual\ntime; every run has the same seed (1). Faults strike at the moment that the\n"+
		"protocol's name says, not yet at each of its steps.\n")
	for _, p := range protocols {
		fmt.Fprintf(w, "\n## %s\n\n| fault | test | result |\n|---|---|---|\n", p.name)
		for _, name := range subtests(p.test, results) {
			fault := strings.ReplaceAll(strings.TrimPrefix(name, p.test+"/"), "_", " ")
			fmt.Fprintf(w, "| %s | `%s` | %s |\n", fault, name, results[name])
		}
	}
	fmt.Fprint(w, `
## Struck at random moments

| protocol | test | schedules |
|---|---|---|
| leases of the store | `+"`TestLeases`"+` | 3,000 of 80 steps |
| rights by votes | `+"`TestOneHolder`"+` | 3,000 of 80 steps |
| grants, charges and refunds | `+"`TestLimitHolds`"+` | 3,000 of 80 steps |
| commits of configuration | `+"`TestRacingOperators`"+` | 20 seeds |

## Clients that misbehave

The built programs are told 144 MB; `+"`"+`go test ./internal/flooder`+"`"+`.

| crowd | test |
|---|---|
| bodies in large chunks, without their end | `+"`"+`TestLargeChunks`+"`"+`, `+"`"+`TestLargeChunksAtRelay`+"`"+` |
| bodies in chunks of one byte | `+"`"+`TestOneByteChunks`+"`"+` |
| heads of legal size in very short lines | `+"`"+`TestShortLines`+"`"+`, `+"`"+`TestRepeatedLines`+"`"+` |
| heads over the limit, or without end | `+"`"+`TestHeadsOverTheLimit`+"`"+`, `+"`"+`TestHeadsAtOtherPorts`+"`"+` |
| empty lines without end | `+"`"+`TestEmptyLines`+"`"+` |
| readers that do not read | `+"`"+`TestSlowReaders`+"`"+` |
| connections without a request | `+"`"+`TestSilentConnections`+"`"+`, `+"`"+`TestSilentConnectionsAtOtherPorts`+"`"+` |

## Not covered

- every fault at every step (before the send, sent, applied, answered, after)
- a whole process paused for longer than every lease, but for the clock's part in
  the schedules above
- clock jumps; a lagging list of hosts; lagging load reports beyond the trial
- orders to the platform: there are none yet
`)
}

// subtests returns the sorted names of the subtests of a test that have a result.
func subtests(test string, results map[string]string) []string {
	var out []string
	for name := range results {
		if strings.HasPrefix(name, test+"/") {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
