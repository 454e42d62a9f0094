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

// defaultDrainTimeout is the time limit of a graceful stop of a process that has no
// configuration yet.
const defaultDrainTimeout = 30 * time.Second

// environment returns the environment of a process in radishspoke's own deployment,
// with the given settings: TCP, the boot clock, a log on standard error and a random
// seed. Its counterpart is platformEnvironment.
func environment(s parser.Settings) assembler.Environment {
	return assembler.Environment{
		Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: logger(s.Process.Log), Seed: rand.Uint64(),
	}
}

// entryCommand returns the command that runs an entry.
func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry, the process that receives the requests of callers",
		Description: "On SIGTERM, the entry reports that it is not ready, completes its requests and exits.\n\n" +
			"Example:\n   radishspoked entry --settings examples/entry.ini",
		Flags: []cli.Flag{settingsFlag(), newMetricsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if path, ok := platformSettings(c); ok {
				return runPlatformEntry(ctx, path, c.Int(metricsFlag))
			}
			settings, err := fileSettings(c)
			if err != nil {
				return err
			}
			entry, err := assembler.NewEntry(settings, environment(settings))
			if err != nil {
				return err
			}
			<-ctx.Done()
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), entry.DrainTimeout(defaultDrainTimeout))
			defer cancel()
			entry.Stop(stopCtx)
			return nil
		},
	}
}

// sidecarCommand returns the command that runs a sidecar.
func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "run a sidecar, the process in front of one target",
		Description: "On SIGTERM, the sidecar refuses new requests, completes running ones and exits.\n\n" +
			"Example:\n   radishspoked sidecar --settings examples/sidecar.ini",
		Flags: []cli.Flag{settingsFlag(), newMetricsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if path, ok := platformSettings(c); ok {
				return runPlatformSidecar(ctx, path, c.Int(metricsFlag))
			}
			settings, err := fileSettings(c)
			if err != nil {
				return err
			}
			sidecar, err := assembler.NewSidecar(ctx, settings, environment(settings))
			if err != nil {
				return fmt.Errorf("start sidecar: %w", err)
			}
			<-ctx.Done()
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sidecar.DrainTimeout(defaultDrainTimeout))
			defer cancel()
			sidecar.Stop(stopCtx)
			return nil
		},
	}
}
