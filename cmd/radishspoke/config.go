package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/state/editor"
	"radishspoke/state/parser"
)

// versionPrefix is the prefix of the first line of the output of show. It is
// followed by the version of the configuration, which apply reads as the version
// that the file is based on.
const versionPrefix = "# version "

// asRaceError returns whether err wraps an editor.RaceError, and sets race to it.
func asRaceError(err error, race **editor.RaceError) bool { return errors.As(err, race) }

// checkCommand returns the command that validates an inventory file.
func (c *console) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate an inventory file", ArgsUsage: "FILE",
		Description: "All errors are reported, each with its file, line, section and key.\n\nExample:\n   radishspoke check examples/nour-festons.ini",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, inventory, err := readInventory(cmd)
			if err != nil {
				return err
			}
			return c.message(cmd, map[string]int{"targets": len(inventory.Targets), "teams": len(inventory.Teams), "routes": len(inventory.Routes)},
				"sound: %d hosts, %d targets, %d models, %d teams, %d routes", len(inventory.Hosts), len(inventory.Targets), len(inventory.Models), len(inventory.Teams), len(inventory.Routes))
		},
	}
}

// readInventory reads and validates the inventory file that the command line
// names. It returns the text of the file and the inventory.
func readInventory(cmd *cli.Command) (string, radishspoke.Inventory, error) {
	path, err := argument(cmd, "FILE")
	if err != nil {
		return "", radishspoke.Inventory{}, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", radishspoke.Inventory{}, fmt.Errorf("read inventory: %w", err)
	}
	inventory, err := parser.ParseInventory(path, data)
	if err != nil {
		return "", inventory, fmt.Errorf("inventory is not valid:\n%w", err)
	}
	return string(data), inventory, nil
}

// applyCommand returns the command that commits an inventory file.
func (c *console) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "commit an inventory and wait until it is in force in all processes", ArgsUsage: "FILE",
		Description: "The change is based on the version in the first line of the file, as show writes it, or on --base.\n" +
			"If another change has been committed since, apply changes nothing and names its author.\n\n" +
			"Examples:\n   radishspoke show > fleet.ini && vi fleet.ini && radishspoke apply fleet.ini --note 'raise the rate of team stalls'\n" +
			"   radishspoke apply fleet.ini --base 0",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "`VERSION` on which the change is based"},
			&cli.StringFlag{Name: "note", Usage: "`TEXT` that describes the change in the history"},
			waitFlag(),
		},
		Action: c.apply,
	}
}

// waitFlag returns the flag for the time limit of waitInForce.
func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "`TIME` to wait until the change is in force in all processes"}
}

// apply commits an inventory file and waits until it is in force in all processes.
func (c *console) apply(ctx context.Context, cmd *cli.Command) error {
	text, _, err := readInventory(cmd)
	if err != nil {
		return err
	}
	base := cmd.Int64("base")
	text, fileVersion := cutVersionLine(text)
	if base < 0 {
		base = fileVersion
	}
	if base < 0 {
		return errors.New("the first line of the file does not name a version; set --base VERSION, which is 0 for the first version")
	}
	client := platformClient(cmd)
	defer client.Close()
	ed := editor.New(client)
	current, err := ed.Current(ctx)
	if err != nil {
		return err
	}
	document := current.Document
	document.Inventory, document.Author, document.Note, document.Time = text, author(), cmd.String("note"), time.Now().UTC()
	version, err := ed.Commit(ctx, base, document)
	if err != nil {
		return err
	}
	return c.waitInForce(ctx, cmd, client, committedChange{Version: version, Note: document.Note})
}

// cutVersionLine splits the version line from the text of an inventory. It
// returns the rest and the version, or the whole text and -1 if there is no
// version line.
func cutVersionLine(text string) (rest string, version int64) {
	line, rest, _ := strings.Cut(text, "\n")
	if !strings.HasPrefix(line, versionPrefix) {
		return text, -1
	}
	if _, err := fmt.Sscanf(line, versionPrefix+"%d", &version); err != nil {
		return text, -1
	}
	return rest, version
}

// showCommand returns the command that writes a version of the inventory.
func (c *console) showCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "write the current inventory, or that of an earlier version",
		Description: "Example:\n   radishspoke show --at 3",
		Flags:       []cli.Flag{&cli.Int64Flag{Name: "at", Usage: "`VERSION` to show"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			config, err := readVersion(ctx, cmd, cmd.Int64("at"))
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.json(config)
			}
			_, err = fmt.Fprintf(c.out, "%s%d\n%s", versionPrefix, config.Version, config.Document.Inventory)
			return err
		},
	}
}

// readVersion returns the given version of the configuration, or the current one
// if the version is 0.
func readVersion(ctx context.Context, cmd *cli.Command, version int64) (*radishspoke.Configuration, error) {
	client := platformClient(cmd)
	defer client.Close()
	if version > 0 {
		return editor.New(client).Version(ctx, version)
	}
	return editor.New(client).Current(ctx)
}

// diffCommand returns the command that compares an inventory file with the current
// inventory.
func (c *console) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what applying a file would change", ArgsUsage: "FILE",
		Description: "Example:\n   radishspoke diff fleet.ini",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			_, inventory, err := readInventory(cmd)
			if err != nil {
				return err
			}
			current, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			differences := compareInventories(&current.Inventory, &inventory)
			rows := make([][]string, len(differences))
			for i, d := range differences {
				rows[i] = []string{d.Kind, d.Name, d.Change}
			}
			return c.table(cmd, differences, []string{"KIND", "NAME", "CHANGE"}, rows)
		},
	}
}

// historyCommand returns the command that lists the versions of the configuration.
func (c *console) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the versions of the configuration",
		Description: "Example:\n   radishspoke history",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client := platformClient(cmd)
			defer client.Close()
			versions, err := editor.New(client).History(ctx)
			if err != nil {
				return err
			}
			rows := make([][]string, len(versions))
			for i, v := range versions {
				rows[i] = []string{fmt.Sprint(v.Version), v.Time.Format(time.RFC3339), v.Author, v.Note}
			}
			return c.table(cmd, versions, []string{"VERSION", "TIME", "AUTHOR", "NOTE"}, rows)
		},
	}
}

// drainCommand returns the command that drains a target, or the command that stops
// draining it if drained is not set.
func (c *console) drainCommand(name string, drained bool) *cli.Command {
	usage := "stop draining a target, so that it gets new requests again"
	if drained {
		usage = "drain a target, so that it gets no new requests"
	}
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "TARGET",
		Description: "Running requests are completed.\n\nExample:\n   radishspoke " + name + " engine-3",
		Flags:       []cli.Flag{waitFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			target, err := argument(cmd, "TARGET")
			if err != nil {
				return err
			}
			client := platformClient(cmd)
			defer client.Close()
			note := name + " " + target
			version, err := edit(ctx, client, note, func(config *radishspoke.Configuration) error { return setDrained(config, target, drained) })
			if err != nil {
				return err
			}
			return c.waitInForce(ctx, cmd, client, committedChange{Version: version, Note: note})
		},
	}
}

// setDrained adds a target to the drained targets of a configuration, or removes
// it if drained is not set. It returns an error if the target does not exist.
func setDrained(config *radishspoke.Configuration, target string, drained bool) error {
	if _, ok := config.Inventory.Target(target); !ok {
		return fmt.Errorf("target %q does not exist in version %d", target, config.Version)
	}
	var names []string
	for _, n := range config.Document.Drained {
		if n != target {
			names = append(names, n)
		}
	}
	if drained {
		names = append(names, target)
	}
	config.Document.Drained = names
	return nil
}
