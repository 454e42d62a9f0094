package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/state/editor"
	"radishspoke/state/storer"
	"radishspoke/transport"
)

const defaultTimeout = 5 * time.Second

// console writes results, and reaches the platform.
type console struct{ out io.Writer }

// table writes rows under a heading, or v as JSON if that is asked for.
func (c *console) table(cmd *cli.Command, v any, heading []string, rows [][]string) error {
	if cmd.Bool("json") {
		return c.json(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(heading, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

func (c *console) json(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// say writes a line for people, or v as JSON if that is asked for.
func (c *console) say(cmd *cli.Command, v any, format string, args ...any) error {
	if cmd.Bool("json") {
		return c.json(v)
	}
	_, err := fmt.Fprintf(c.out, format+"\n", args...)
	return err
}

func platform(cmd *cli.Command) *storer.Client {
	return storer.New(&transport.TCP{}, cmd.String("platform"), cmd.Duration("timeout"))
}

// author names who makes a change.
func author() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, err := os.Hostname()
	if err != nil {
		return name
	}
	return name + "@" + host
}

// argument returns the one argument of a command.
func argument(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes one argument, %s; %d were given", cmd.Name, what, cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// change is a committed configuration.
type change struct {
	Version int64  `json:"version"`
	Note    string `json:"note"`
	InForce string `json:"in_force,omitempty"` // time it took everywhere
}

// edit commits a change to the current document, made by f. A change that
// does not depend on what others change is made anew after a race.
func edit(ctx context.Context, p *storer.Client, note string, f func(*radishspoke.Configuration) error) (int64, error) {
	e := editor.New(p)
	for {
		now, err := e.Current(ctx)
		if err != nil {
			return 0, err
		}
		if err := f(now); err != nil {
			return 0, err
		}
		d := now.Document
		d.Author, d.Note, d.Time = author(), note, time.Now().UTC()
		n, err := e.Commit(ctx, now.Version, d)
		var race *editor.RaceError
		if asRace(err, &race) {
			continue
		}
		return n, err
	}
}
