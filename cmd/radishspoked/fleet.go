package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"

	"github.com/urfave/cli/v3"

	"radishspoke/internal/assembler"
	"radishspoke/platform"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// onPlatform returns the path of the platform's settings file, if this process
// has no settings of its own and runs there.
func onPlatform(c *cli.Command) (string, bool) {
	path := os.Getenv(platform.SettingsVariable)
	return path, path != "" && c.String("settings") == ""
}

// fleetLog writes to standard output, which the platform collects.
func fleetLog() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: slog.LevelInfo}))
}

func fleetEnvironment() assembler.Environment {
	return assembler.Environment{Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: fleetLog(), Seed: rand.Uint64()}
}

func runFleetEntry(ctx context.Context, path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	e, err := assembler.NewFleetEntry(s, fleetEnvironment())
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	e.Stop()
	return nil
}

func runFleetSidecar(ctx context.Context, path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	d := assembler.NewFleetSidecar(s, fleetEnvironment())
	d.Start()
	<-ctx.Done()
	d.Stop()
	return nil
}
