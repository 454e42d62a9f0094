// Command radishsoak runs soak tests of the programs: it runs them as processes,
// injects random faults that depend on a seed, and checks the results.
package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"radishspoke/internal/soaker"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "radishsoak:", err)
		os.Exit(1)
	}
}

// command returns the root command.
func command() *cli.Command {
	return &cli.Command{
		Name:  "radishsoak",
		Usage: "run entries and sidecars as processes, inject random faults, and check what callers and targets receive",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the radishspoked to test; built from source if empty"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; random if 0"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of soak tests, one after the other, with consecutive seeds"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "`TIME` during which each soak test injects faults"},
			&cli.IntFlag{Name: "entries", Value: 4, Usage: "`NUMBER` of entries"},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "`NUMBER` of engines, each with a sidecar"},
			&cli.IntFlag{Name: "callers", Value: 16, Usage: "`NUMBER` of callers"},
			&cli.StringSliceFlag{Name: "known", Usage: "`CHECK` whose findings are printed and do not fail the run, because their fault is known"},
			&cli.BoolFlag{Name: "quiet", Usage: "print only the result and the findings of each soak test"},
		},
		Action: soak,
	}
}

// errFindings is returned if a soak test found a violation of a guarantee.
var errFindings = errors.New("the soak tests found violations")

// soak runs the soak tests and keeps the logs of those with findings. The error
// wraps errFindings if there are any.
func soak(ctx context.Context, c *cli.Command) error {
	base, err := os.MkdirTemp("", "radishsoak")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	program := c.String("program")
	if program == "" {
		program = filepath.Join(base, "radishspoked")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/radishspoked")
		if out, err := build.CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build radishspoked: %s", out)
		}
	}
	first := c.Uint64("seed")
	if first == 0 {
		first = rand.Uint64() >> 32
	}
	found := 0
	for i := range c.Int("seeds") {
		seed := first + uint64(i)
		directory := filepath.Join(base, fmt.Sprint(seed))
		if err := os.Mkdir(directory, 0o700); err != nil {
			return errors.Wrap(err, "create log directory")
		}
		settings := soaker.Settings{
			Program: program, Seed: seed, Length: c.Duration("length"), Entries: c.Int("entries"), Engines: c.Int("engines"),
			Consumers: c.Int("callers"),
		}
		if !c.Bool("quiet") {
			settings.Out = os.Stdout
		}
		run, err := soaker.New(settings, directory)
		if err != nil {
			return err
		}
		report, err := run.Run()
		if err != nil {
			return err
		}
		printSummary(seed, report)
		if len(report.Findings) == 0 {
			if err := os.RemoveAll(directory); err != nil {
				return errors.Wrap(err, "remove log directory")
			}
			continue
		}
		for _, f := range report.Findings {
			if slices.Contains(c.StringSlice("known"), f.Check) {
				fmt.Printf("  known: %s\n", f)
				continue
			}
			found++
			fmt.Printf("  %s\n", f)
		}
		fmt.Printf("  logs are in %s\n", directory)
	}
	if found > 0 {
		return errors.Wrapf(errFindings, "%d findings", found)
	}
	if err := os.RemoveAll(base); err != nil {
		return errors.Wrap(err, "remove log directory")
	}
	return nil
}

// printSummary prints the counts of a soak test in one line.
func printSummary(seed uint64, r *soaker.Report) {
	fmt.Printf("seed %d: %d requests, %d served, refused %s (%d after a target got them), %d streams resumed, %d not (attempts %s, failed %v), %d answers halted, %d whole after their key was withdrawn, %d beside an evacuated zone, %d left by their callers (%d calls for them after that), %d late beside scheduling delays, %d findings\n",
		seed, r.Requests, r.Served, byStatus(r.Refused), r.RefusedLate, r.Resumed, r.NotResumed, byStatus(r.Resumptions), r.Refusals, r.Halted, r.Kept, r.Elsewhere, r.Left, r.LeftBefore, r.Delayed, len(r.Findings))
}

// byStatus returns the total of counts by status, followed by each of them.
func byStatus(counts map[int]int) string {
	total, parts := 0, ""
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		total += counts[status]
		parts += fmt.Sprintf(" %d:%d", status, counts[status])
	}
	return fmt.Sprintf("%d%s", total, parts)
}
