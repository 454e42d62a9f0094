// Command trial simulates routing and queueing policies on seeded workloads and
// writes a Markdown table of the results, for docs/notes/policy.md.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"radishspoke/internal/simulator"
)

func main() {
	c := &cli.Command{
		Name:        "trial",
		Usage:       "compare routing and queueing policies on seeded workloads, in simulated time",
		Description: "Example:\n   trial --seeds 10",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "`NUMBER` of runs of each scenario and policy"},
			&cli.StringFlag{Name: "shape", Usage: "run only the scenario with this `NAME`"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			compare(c.Int("seeds"), c.String("shape"))
			return nil
		},
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(1)
	}
}

// compare writes a table with a row for each scenario and policy. A row holds
// means over the seeds, and in the column "spread" the standard deviation of the
// goodput. If scenario is not empty, only the scenario with that name is run.
func compare(seeds int, scenario string) {
	fmt.Println("| shape | policy | goodput | spread | worst team | refused | first token p95 | prefix hits |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, s := range simulator.Scenarios() {
		if scenario != "" && s.Name != scenario {
			continue
		}
		for _, p := range simulator.Policies() {
			writeRow(s, p, seeds)
		}
	}
}

// writeRow runs a scenario under a policy with the seeds from 1 to the given number,
// all at the same time, and writes the row of the table.
func writeRow(s simulator.Scenario, p simulator.Policy, seeds int) {
	results := make([]simulator.Result, seeds)
	var group sync.WaitGroup
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = simulator.Run(s, p, uint64(i)+1)
		}()
	}
	group.Wait()
	var goodput, goodputSquares, worst, refused, hits float64
	var firstToken time.Duration
	for _, r := range results {
		goodput += r.Goodput()
		goodputSquares += r.Goodput() * r.Goodput()
		worst += r.WorstGoodput
		refused += float64(r.Refused) / float64(r.Offered)
		hits += r.PrefixHits
		firstToken += r.FirstTokenP95
	}
	n := float64(seeds)
	mean := goodput / n
	deviation := math.Sqrt(max(0, goodputSquares/n-mean*mean))
	fmt.Printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.2f s | %.2f |\n", s.Name, p.Name, mean, deviation, worst/n, refused/n, (firstToken / time.Duration(seeds)).Seconds(), hits/n)
}
