// Command radishspoked is the daemon: it runs as an entry before callers, as
// a sidecar beside a target, or as a whole deployment for development.
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
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "radishspoked:", err)
		var faults parser.Errors
		if errors.As(err, &faults) || errors.Is(err, platform.ErrSettings) || errors.Is(err, errNoSettings) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "radishspoked",
		Usage:                 "serve language models and the services beside them",
		Version:               radishspoke.Version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{entryCommand(), sidecarCommand(), devCommand(), fakeCommand()},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Usage: "read settings from `FILE`; not needed where the platform gives its own",
		Sources: cli.EnvVars(parser.EnvPrefix + "SETTINGS"),
	}
}

// logger returns a log that writes one line of key=value pairs an event.
func logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
