package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"radishspoke/internal/assembler"
	"radishspoke/platform"
	"radishspoke/state/parser"
	"radishspoke/state/printer"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// errNoSettings says that a process has no settings at all.
var errNoSettings = errors.New("no settings: name a file with --settings, or run on the platform, which sets " + platform.SettingsVariable)

// ownSettings reads the settings file that the command line names.
func ownSettings(c *cli.Command) (parser.Settings, error) {
	path := c.String("settings")
	if path == "" {
		return parser.Settings{}, errNoSettings
	}
	return parser.LoadSettings(path)
}

// onPlatform returns the path of the platform's settings file, if this process
// has no settings of its own and runs there.
func onPlatform(c *cli.Command) (string, bool) {
	path := os.Getenv(platform.SettingsVariable)
	return path, path != "" && c.String("settings") == ""
}

// fleetEnvironment returns the host's, with a log to standard output, which the
// platform collects. Close must be called at the end.
func fleetEnvironment() (env assembler.Environment, closeLog func()) {
	p := printer.New(os.Stdout, slog.LevelInfo)
	l := slog.New(p)
	slog.SetDefault(l)
	return assembler.Environment{Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: l, Seed: rand.Uint64()}, p.Close
}

// metricsFlag names the port for metrics on the users' platform.
const metricsFlag = "metrics-port"

func newMetricsFlag() cli.Flag {
	return &cli.IntFlag{Name: metricsFlag, Usage: "serve metrics at /metrics of `PORT`, on the platform; 0 for nowhere"}
}

// fleetProcess is an entry or a sidecar on the users' platform.
type fleetProcess interface {
	Start() error
	Stop()
}

func runFleetEntry(ctx context.Context, path string, metrics int) error {
	return runFleet(ctx, path, func(s platform.Settings, env assembler.Environment) (fleetProcess, error) {
		return assembler.NewFleetEntry(s, env, metrics)
	})
}

func runFleetSidecar(ctx context.Context, path string, metrics int) error {
	return runFleet(ctx, path, func(s platform.Settings, env assembler.Environment) (fleetProcess, error) {
		return assembler.NewFleetSidecar(s, env, metrics)
	})
}

// runFleet runs a process by the settings file at path until ctx ends.
func runFleet(ctx context.Context, path string, build func(platform.Settings, assembler.Environment) (fleetProcess, error)) error {
	changed, ignore := hangUps()
	defer ignore()
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	env, closeLog := fleetEnvironment()
	defer closeLog()
	p, err := build(s, env)
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	await(ctx, path, changed)
	p.Stop()
	return nil
}

// hangUps returns a channel for SIGHUP, which would end the process otherwise. It
// is called before anything else, as the signal may come during the start.
func hangUps() (changed <-chan os.Signal, ignore func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}

// await reads the settings again whenever the platform says that they have
// changed, until ctx ends. What is in force stays: addresses can't change while
// a process serves, and a restart takes the new file.
func await(ctx context.Context, path string, changed <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if _, err := platform.LoadSettings(path); err != nil {
			slog.Error("changed settings are unusable; the old ones stay", "error", err)
			continue
		}
		slog.Info("settings changed; they take effect at the next start", "path", path)
	}
}
