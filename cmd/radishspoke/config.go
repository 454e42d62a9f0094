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

// versionLine starts the first line of what show writes. It tells apply which
// version the text was made from.
const versionLine = "# version "

func asRace(err error, race **editor.RaceError) bool { return errors.As(err, race) }

func (c *console) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check an inventory whole", ArgsUsage: "FILE",
		Description: "Every fault is told, each with file, line, section and key.\n\nExample:\n   radishspoke check examples/nour-festons.ini",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, v, err := readInventory(cmd)
			if err != nil {
				return err
			}
			return c.say(cmd, map[string]int{"targets": len(v.Targets), "teams": len(v.Teams), "routes": len(v.Routes)},
				"sound: %d hosts, %d targets, %d models, %d teams, %d routes", len(v.Hosts), len(v.Targets), len(v.Models), len(v.Teams), len(v.Routes))
		},
	}
}

func readInventory(cmd *cli.Command) (string, radishspoke.Inventory, error) {
	path, err := argument(cmd, "FILE")
	if err != nil {
		return "", radishspoke.Inventory{}, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", radishspoke.Inventory{}, fmt.Errorf("read inventory: %w", err)
	}
	v, err := parser.Inventory(path, data)
	if err != nil {
		return "", v, fmt.Errorf("inventory has faults:\n%w", err)
	}
	return string(data), v, nil
}

func (c *console) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "commit an inventory, and wait until it is in force everywhere", ArgsUsage: "FILE",
		Description: "The change is made from the version in the file's first line, as show writes it, or from\n" +
			"--base. If another change was committed since, nothing is changed and its author is named.\n\n" +
			"Examples:\n   radishspoke show > fleet.ini && vi fleet.ini && radishspoke apply fleet.ini --note 'raise the stalls'\n" +
			"   radishspoke apply fleet.ini --base 0",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "`VERSION` that the change was made from"},
			&cli.StringFlag{Name: "note", Usage: "`TEXT` for the history"},
			waitFlag(),
		},
		Action: c.apply,
	}
}

func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "wait `TIME` for the change to be in force everywhere"}
}

func (c *console) apply(ctx context.Context, cmd *cli.Command) error {
	text, _, err := readInventory(cmd)
	if err != nil {
		return err
	}
	base := cmd.Int64("base")
	text, from := cutVersion(text)
	if base < 0 {
		base = from
	}
	if base < 0 {
		return errors.New("the file's first line names no version; give --base VERSION, 0 for the first one")
	}
	p := platform(cmd)
	defer p.Close()
	e := editor.New(p)
	now, err := e.Current(ctx)
	if err != nil {
		return err
	}
	d := now.Document
	d.Inventory, d.Author, d.Note, d.Time = text, author(), cmd.String("note"), time.Now().UTC()
	n, err := e.Commit(ctx, base, d)
	if err != nil {
		return err
	}
	return c.settle(ctx, cmd, p, change{Version: n, Note: d.Note})
}

// cutVersion parts the version line from an inventory; -1 means none.
func cutVersion(text string) (rest string, version int64) {
	line, rest, _ := strings.Cut(text, "\n")
	if !strings.HasPrefix(line, versionLine) {
		return text, -1
	}
	if _, err := fmt.Sscanf(line, versionLine+"%d", &version); err != nil {
		return text, -1
	}
	return rest, version
}

func (c *console) showCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "write the inventory in force, or that of an earlier version",
		Description: "Example:\n   radishspoke show --at 3",
		Flags:       []cli.Flag{&cli.Int64Flag{Name: "at", Usage: "`VERSION` to show"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			v, err := readVersion(ctx, cmd, cmd.Int64("at"))
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return c.json(v)
			}
			_, err = fmt.Fprintf(c.out, "%s%d\n%s", versionLine, v.Version, v.Document.Inventory)
			return err
		},
	}
}

// readVersion returns a version, or the current one for 0.
func readVersion(ctx context.Context, cmd *cli.Command, n int64) (*radishspoke.Configuration, error) {
	p := platform(cmd)
	defer p.Close()
	if n > 0 {
		return editor.New(p).Version(ctx, n)
	}
	return editor.New(p).Current(ctx)
}

func (c *console) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "tell what applying a file would change", ArgsUsage: "FILE",
		Description: "Example:\n   radishspoke diff fleet.ini",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			_, v, err := readInventory(cmd)
			if err != nil {
				return err
			}
			now, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			changes := compare(&now.Inventory, &v)
			rows := make([][]string, len(changes))
			for i, e := range changes {
				rows[i] = []string{e.Kind, e.Name, e.What}
			}
			return c.table(cmd, changes, []string{"KIND", "NAME", "CHANGE"}, rows)
		},
	}
}

func (c *console) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the versions of the configuration",
		Description: "Example:\n   radishspoke history",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p := platform(cmd)
			defer p.Close()
			list, err := editor.New(p).History(ctx)
			if err != nil {
				return err
			}
			rows := make([][]string, len(list))
			for i, e := range list {
				rows[i] = []string{fmt.Sprint(e.Version), e.Time.Format(time.RFC3339), e.Author, e.Note}
			}
			return c.table(cmd, list, []string{"VERSION", "TIME", "AUTHOR", "NOTE"}, rows)
		},
	}
}

func (c *console) drainCommand(name string, on bool) *cli.Command {
	usage := "take a target into use again"
	if on {
		usage = "keep new work away from a target"
	}
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "TARGET",
		Description: "Requests that run go on to their end.\n\nExample:\n   radishspoke " + name + " engine-3",
		Flags:       []cli.Flag{waitFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			target, err := argument(cmd, "TARGET")
			if err != nil {
				return err
			}
			p := platform(cmd)
			defer p.Close()
			note := name + " " + target
			n, err := edit(ctx, p, note, func(v *radishspoke.Configuration) error { return setDrained(v, target, on) })
			if err != nil {
				return err
			}
			return c.settle(ctx, cmd, p, change{Version: n, Note: note})
		},
	}
}

func setDrained(v *radishspoke.Configuration, target string, on bool) error {
	if _, ok := v.Inventory.Target(target); !ok {
		return fmt.Errorf("target %q does not exist in version %d", target, v.Version)
	}
	var kept []string
	for _, n := range v.Document.Drained {
		if n != target {
			kept = append(kept, n)
		}
	}
	if on {
		kept = append(kept, target)
	}
	v.Document.Drained = kept
	return nil
}
