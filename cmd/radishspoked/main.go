// Command radishspoked is the daemon. It runs as an entry, which receives the
// requests of callers, as the sidecar of a target, as a development deployment with
// all processes in one, or as a fake of an external system.
//
// An entry or a sidecar belongs to radishspoke's own deployment if the flag --settings
// or the environment variable RADISHSPOKE_SETTINGS names its settings file.
// Otherwise, it runs on an external platform, which names the settings file in an
// environment variable (platform.SettingsVariable).
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/platform"
	"radishspoke/state/parser"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2 // the settings are missing or not valid
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "radishspoked:", err)
		var invalid parser.Errors
		if errors.As(err, &invalid) || errors.Is(err, platform.ErrSettings) || errors.Is(err, errNoSettings) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

// command returns the root command.
func command() *cli.Command {
	return &cli.Command{
		Name:                  "radishspoked",
		Usage:                 "serve language models and plain HTTP services",
		Version:               radishspoke.Version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{entryCommand(), sidecarCommand(), devCommand(), fakeCommand()},
	}
}

// settingsFlag returns the flag for the path of the settings file.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`; by default, the file that the external platform provides",
		Sources: cli.EnvVars(parser.EnvPrefix + "SETTINGS"),
	}
}

// logger returns a logger that writes lines of key=value pairs to standard error.
// The level is info if the given one is not valid.
func logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
