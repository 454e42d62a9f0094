package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/urfave/cli/v3"

	"radishspoke/internal/assembler"
	"radishspoke/state/parser"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// defaultDrain bounds a planned stop when no configuration is known.
const defaultDrain = 30 * time.Second

func environment(s parser.Settings) assembler.Environment {
	return assembler.Environment{
		Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: logger(s.Process.Log), Seed: rand.Uint64(),
	}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry: the process that callers reach",
		Description: "On SIGTERM the entry stops being ready, finishes its requests and leaves.\n\n" +
			"Example:\n   radishspoked entry --settings examples/entry.ini",
		Flags: []cli.Flag{settingsFlag(), newMetricsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if path, ok := onPlatform(c); ok {
				return runFleetEntry(ctx, path, c.Int(metricsFlag))
			}
			s, err := ownSettings(c)
			if err != nil {
				return err
			}
			e, err := assembler.NewEntry(s, environment(s))
			if err != nil {
				return err
			}
			<-ctx.Done()
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.DrainTimeout(defaultDrain))
			defer cancel()
			e.Stop(stop)
			return nil
		},
	}
}

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "run a sidecar: the process beside one target",
		Description: "On SIGTERM the sidecar takes no new requests, finishes those it has and leaves.\n\n" +
			"Example:\n   radishspoked sidecar --settings examples/sidecar.ini",
		Flags: []cli.Flag{settingsFlag(), newMetricsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if path, ok := onPlatform(c); ok {
				return runFleetSidecar(ctx, path, c.Int(metricsFlag))
			}
			s, err := ownSettings(c)
			if err != nil {
				return err
			}
			d, err := assembler.NewSidecar(ctx, s, environment(s))
			if err != nil {
				return fmt.Errorf("start sidecar: %w", err)
			}
			<-ctx.Done()
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.DrainTimeout(defaultDrain))
			defer cancel()
			d.Stop(stop)
			return nil
		},
	}
}
