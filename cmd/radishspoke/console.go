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

// defaultTimeout is the default time limit of one call to the platform or to a
// process.
const defaultTimeout = 5 * time.Second

// console writes the results of commands to out.
type console struct{ out io.Writer }

// table writes rows under a heading, or v as JSON with the flag --json.
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

// json writes v as indented JSON.
func (c *console) json(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// message writes a formatted line, or v as JSON with the flag --json.
func (c *console) message(cmd *cli.Command, v any, format string, args ...any) error {
	if cmd.Bool("json") {
		return c.json(v)
	}
	_, err := fmt.Fprintf(c.out, format+"\n", args...)
	return err
}

// platformClient returns a client of the platform that the flags name.
func platformClient(cmd *cli.Command) *storer.Client {
	return storer.New(&transport.TCP{}, cmd.String("platform"), cmd.Duration("timeout"))
}

// author returns the user and the host that make a change, as user@host. The host
// is left out if it is not known.
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

// argument returns the only argument of a command. It returns an error with the
// name of the argument if the command line has no argument or several.
func argument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes one argument, %s, but got %d", cmd.Name, name, cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// committedChange is the result of a command that commits a configuration.
type committedChange struct {
	Version int64  `json:"version"`
	Note    string `json:"note"`
	InForce string `json:"in_force,omitempty"` // time until it was in force in all processes
}

// edit applies f to the current configuration, commits the document and returns
// the new version. If another change is committed meanwhile, edit applies f to the
// newer configuration and tries again, so it is only for changes that remain
// correct whatever others have changed.
func edit(ctx context.Context, client *storer.Client, note string, f func(*radishspoke.Configuration) error) (int64, error) {
	ed := editor.New(client)
	for {
		current, err := ed.Current(ctx)
		if err != nil {
			return 0, err
		}
		if err := f(current); err != nil {
			return 0, err
		}
		document := current.Document
		document.Author, document.Note, document.Time = author(), note, time.Now().UTC()
		version, err := ed.Commit(ctx, current.Version, document)
		var race *editor.RaceError
		if asRaceError(err, &race) {
			continue
		}
		return version, err
	}
}
