// Command trial compares routing and queueing policies on seeded traffic and
// writes a table for docs/notes/policy.md.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"radishspoke/internal/trial"
)

func main() {
	c := &cli.Command{
		Name:        "trial",
		Usage:       "compare routing and queueing policies on seeded traffic",
		Description: "Example:\n   trial --seeds 10",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "`NUMBER` of runs of each shape and policy"},
			&cli.StringFlag{Name: "shape", Usage: "run only the shape of that `NAME`"},
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

// compare writes a row for each shape and policy: means over the seeds, and
// the spread of the goodput.
func compare(seeds int, only string) {
	fmt.Println("| shape | policy | goodput | spread | worst team | refused | first token p95 | prefix hits |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, s := range trial.Shapes() {
		if only != "" && s.Name != only {
			continue
		}
		for _, p := range trial.Policies() {
			row(s, p, seeds)
		}
	}
}

func row(s trial.Shape, p trial.Policy, seeds int) {
	results := make([]trial.Result, seeds)
	var group sync.WaitGroup
	for i := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = trial.Run(s, p, uint64(i)+1)
		}()
	}
	group.Wait()
	var goodput, squares, worst, refused, hits float64
	var first time.Duration
	for _, r := range results {
		goodput += r.Goodput()
		squares += r.Goodput() * r.Goodput()
		worst += r.Worst
		refused += float64(r.Refused) / float64(r.Offered)
		hits += r.Hits
		first += r.First95
	}
	n := float64(seeds)
	mean := goodput / n
	spread := math.Sqrt(max(0, squares/n-mean*mean))
	fmt.Printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.2f s | %.2f |\n", s.Name, p.Name, mean, spread, worst/n, refused/n, (first / time.Duration(seeds)).Seconds(), hits/n)
}
