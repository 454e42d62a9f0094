// Command radishspoke is the command line of operators. It validates and commits
// configurations, grants and withdraws keys, drains targets, and shows the status
// of the processes.
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
	exitInvalid  = 2 // the inventory is not valid
	exitConflict = 3 // another change was committed first
	exitPending  = 4 // the change is committed, but not yet in force in all processes
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command(&console{out: os.Stdout}).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "radishspoke:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var invalid parser.Errors
	switch {
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.Is(err, radishspoke.ErrConflict):
		return exitConflict
	case errors.Is(err, errPending):
		return exitPending
	}
	return exitFailed
}

// command returns the root command, whose subcommands write their results to c.
func command(c *console) *cli.Command {
	return &cli.Command{
		Name:                  "radishspoke",
		Usage:                 "operate a radishspoke deployment",
		Version:               radishspoke.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "platform", Usage: "address of the platform's services, `IP:PORT`", Value: "127.0.0.1:21000",
				Sources: cli.EnvVars(parser.EnvPrefix + "PLATFORM"),
			},
			&cli.BoolFlag{Name: "json", Usage: "write results as JSON"},
			&cli.DurationFlag{Name: "timeout", Usage: "`TIME` limit of one call", Value: defaultTimeout},
		},
		Commands: []*cli.Command{
			c.checkCommand(), c.applyCommand(), c.showCommand(), c.diffCommand(), c.historyCommand(),
			c.statusCommand(), c.targetsCommand(), c.teamsCommand(),
			c.drainCommand("drain", true), c.drainCommand("undrain", false), c.keyCommand(), whyCommand(), c.whereCommand(),
		},
	}
}
