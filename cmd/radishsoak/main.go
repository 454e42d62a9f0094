// Command radishsoak soaks the programs under random faults, seed by seed.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
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

func command() *cli.Command {
	return &cli.Command{
		Name:  "radishsoak",
		Usage: "run entries and sidecars as processes under random faults and check what callers and targets see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "soak the radishspoked at `PATH`; it is built if empty"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; drawn if 0"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of soaks, one after the other"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "`TIME` of faults in each"},
			&cli.IntFlag{Name: "entries", Value: 4, Usage: "`NUMBER` of entries"},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "`NUMBER` of engines, with a sidecar each"},
			&cli.IntFlag{Name: "callers", Value: 16, Usage: "`NUMBER` of callers"},
			&cli.BoolFlag{Name: "quiet", Usage: "print findings only"},
		},
		Action: soak,
	}
}

// errFound says that a promise was not kept.
var errFound = errors.New("promises were not kept")

func soak(ctx context.Context, c *cli.Command) error {
	work, err := os.MkdirTemp("", "radishsoak")
	if err != nil {
		return errors.Wrap(err, "make a directory for logs")
	}
	program := c.String("program")
	if program == "" {
		program = filepath.Join(work, "radishspoked")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/radishspoked")
		if out, err := build.CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build the program: %s", out)
		}
	}
	first := c.Uint64("seed")
	if first == 0 {
		first = rand.Uint64() >> 32
	}
	found := 0
	for i := range c.Int("seeds") {
		seed := first + uint64(i)
		directory := filepath.Join(work, fmt.Sprint(seed))
		if err := os.Mkdir(directory, 0o700); err != nil {
			return errors.Wrap(err, "make a directory for logs")
		}
		s := soaker.Settings{
			Program: program, Seed: seed, Length: c.Duration("length"), Entries: c.Int("entries"), Engines: c.Int("engines"),
			Consumers: c.Int("callers"),
		}
		if !c.Bool("quiet") {
			s.Out = os.Stdout
		}
		k, err := soaker.New(s, directory)
		if err != nil {
			return err
		}
		r, err := k.Run()
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d findings\n", seed, r.Requests, r.Served, r.Refused, len(r.Findings))
		if len(r.Findings) == 0 {
			if err := os.RemoveAll(directory); err != nil {
				return errors.Wrap(err, "remove logs")
			}
			continue
		}
		found += len(r.Findings)
		for _, f := range r.Findings {
			fmt.Printf("  %s\n", f)
		}
		fmt.Printf("  logs are in %s\n", directory)
	}
	if found > 0 {
		return errors.Wrapf(errFound, "%d findings", found)
	}
	if err := os.RemoveAll(work); err != nil {
		return errors.Wrap(err, "remove logs")
	}
	return nil
}
