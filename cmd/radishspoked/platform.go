package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"radishspoke/internal/assembler"
	"radishspoke/platform"
	"radishspoke/state/logwriter"
	"radishspoke/state/parser"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// errNoSettings is returned if neither the command line nor an external platform
// names a settings file.
var errNoSettings = errors.New("no settings file: set --settings, or run on an external platform, which names the file in " + platform.SettingsVariable)

// fileSettings reads the settings file that the command line names.
func fileSettings(c *cli.Command) (parser.Settings, error) {
	path := c.String("settings")
	if path == "" {
		return parser.Settings{}, errNoSettings
	}
	return parser.LoadSettings(path)
}

// platformSettings returns the path of the settings file that the external platform
// provides. It returns false if the process does not run on an external platform,
// or if the command line names a settings file.
func platformSettings(c *cli.Command) (string, bool) {
	path := os.Getenv(platform.SettingsVariable)
	return path, path != "" && c.String("settings") == ""
}

// platformEnvironment returns the environment of a process on the external platform:
// TCP, the boot clock, a log on standard output, which the platform collects, and a
// random seed. closeLog must be called before the process exits. The counterpart
// for radishspoke's own deployment is environment.
func platformEnvironment() (env assembler.Environment, closeLog func()) {
	w := logwriter.New(os.Stdout, slog.LevelInfo)
	l := slog.New(w)
	slog.SetDefault(l)
	return assembler.Environment{Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: l, Seed: rand.Uint64()}, w.Close
}

// metricsFlag is the name of the flag for the port of the metrics on an external
// platform.
const metricsFlag = "metrics-port"

// newMetricsFlag returns the flag for the port of the metrics.
func newMetricsFlag() cli.Flag {
	return &cli.IntFlag{Name: metricsFlag, Usage: "on an external platform, `PORT` that serves /metrics; none if 0"}
}

// platformProcess is an entry or a sidecar on the external platform.
type platformProcess interface {
	Start() error
	Stop()
}

// runPlatformEntry runs an entry on the external platform until ctx is done.
func runPlatformEntry(ctx context.Context, path string, metrics int) error {
	return runOnPlatform(ctx, path, func(s platform.Settings, env assembler.Environment) (platformProcess, error) {
		return assembler.NewFleetEntry(s, env, metrics)
	})
}

// runPlatformSidecar runs a sidecar on the external platform until ctx is done.
func runPlatformSidecar(ctx context.Context, path string, metrics int) error {
	return runOnPlatform(ctx, path, func(s platform.Settings, env assembler.Environment) (platformProcess, error) {
		return assembler.NewFleetSidecar(s, env, metrics)
	})
}

// heapShare is the part of the stated memory above which the garbage collector runs more often.
// It is a second line of defence behind package budgeter.
const heapShare = 0.7

// runOnPlatform builds a process from the settings file at path and runs it until
// ctx is done.
func runOnPlatform(ctx context.Context, path string, build func(platform.Settings, assembler.Environment) (platformProcess, error)) error {
	changed, stop := notifyHangup()
	defer stop()
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
	}
	env, closeLog := platformEnvironment()
	defer closeLog()
	p, err := build(s, env)
	if err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	awaitStop(ctx, path, changed)
	p.Stop()
	return nil
}

// notifyHangup returns a channel that receives SIGHUP, and a function that stops
// the delivery. It must be called before all else, as SIGHUP may arrive while the
// process starts, and would end the process by default.
func notifyHangup() (changed <-chan os.Signal, stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}

// awaitStop waits until ctx is done. Whenever a signal on changed says that the
// platform has changed the settings, it validates the file and logs the result. The
// process keeps its previous settings, as addresses can't change while it serves. The
// new ones take effect at its next start.
func awaitStop(ctx context.Context, path string, changed <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if _, err := platform.LoadSettings(path); err != nil {
			slog.Error("changed settings are not valid; the previous ones stay in force", "error", err)
			continue
		}
		slog.Info("settings changed; the changes take effect at the next start", "path", path)
	}
}
