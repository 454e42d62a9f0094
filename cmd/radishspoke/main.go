// Command radishspoke is the operators' command line: it checks and commits
// configurations, grants and withdraws keys, drains targets, and shows what
// the processes say of themselves.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/state/parser"
)

// Exit codes.
const (
	exitFailed   = 1
	exitFaults   = 2 // the inventory has faults
	exitConflict = 3 // another change was committed first
	exitPending  = 4 // committed, but not yet in force everywhere
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command(&console{out: os.Stdout}).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "radishspoke:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var faults parser.Errors
	switch {
	case errors.As(err, &faults):
		return exitFaults
	case errors.Is(err, radishspoke.ErrConflict):
		return exitConflict
	case errors.Is(err, errPending):
		return exitPending
	}
	return exitFailed
}

func command(c *console) *cli.Command {
	return &cli.Command{
		Name:                  "radishspoke",
		Usage:                 "operate a radishspoke deployment",
		Version:               radishspoke.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "platform", Usage: "reach the platform's services at `IP:PORT`", Value: "127.0.0.1:21000",
				Sources: cli.EnvVars(parser.EnvPrefix + "PLATFORM"),
			},
			&cli.BoolFlag{Name: "json", Usage: "write JSON in place of tables"},
			&cli.DurationFlag{Name: "timeout", Usage: "give up a call after `TIME`", Value: defaultTimeout},
		},
		Commands: []*cli.Command{
			c.checkCommand(), c.applyCommand(), c.showCommand(), c.diffCommand(), c.historyCommand(),
			c.statusCommand(), c.targetsCommand(), c.teamsCommand(),
			c.drainCommand("drain", true), c.drainCommand("undrain", false), c.keyCommand(), whyCommand(),
		},
	}
}
