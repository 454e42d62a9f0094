package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/coordination/authenticator"
)

func (c *console) keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "grant, withdraw and list the teams' keys",
		Commands: []*cli.Command{c.grantCommand(), c.withdrawCommand(), c.keysCommand()},
	}
}

func (c *console) grantCommand() *cli.Command {
	return &cli.Command{
		Name: "grant", Usage: "make a key for a team", ArgsUsage: "TEAM",
		Description: "The secret is written once; only its hash is kept.\n\nExample:\n   radishspoke key grant phone-line",
		Flags:       []cli.Flag{waitFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			team, err := argument(cmd, "TEAM")
			if err != nil {
				return err
			}
			p := platform(cmd)
			defer p.Close()
			secret := authenticator.NewSecret()
			k := radishspoke.Key{Team: team, Hash: authenticator.Hash(secret)}
			n, err := edit(ctx, p, "key grant "+team, func(v *radishspoke.Configuration) error { return addKey(v, &k) })
			if err != nil {
				return err
			}
			if !cmd.Bool("json") {
				fmt.Fprintf(c.out, "key %s of team %s: %s\n", k.ID, team, secret)
			}
			return c.settle(ctx, cmd, p, change{Version: n, Note: "key grant " + team})
		},
	}
}

// addKey gives k an id that no key of its team has had.
func addKey(v *radishspoke.Configuration, k *radishspoke.Key) error {
	if _, ok := v.Inventory.Team(k.Team); !ok {
		return fmt.Errorf("team %q does not exist in version %d", k.Team, v.Version)
	}
	n := 1
	for _, e := range v.Document.Keys {
		if e.Team == k.Team {
			n++
		}
	}
	k.ID = fmt.Sprintf("%s-%d", k.Team, n)
	v.Document.Keys = append(v.Document.Keys, *k)
	return nil
}

func (c *console) withdrawCommand() *cli.Command {
	return &cli.Command{
		Name: "withdraw", Usage: "end a key, also for callers that are connected", ArgsUsage: "KEY-ID",
		Description: "Answers that run go on to their end; nothing new starts.\n\nExample:\n   radishspoke key withdraw phone-line-1",
		Flags:       []cli.Flag{waitFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := argument(cmd, "KEY-ID")
			if err != nil {
				return err
			}
			p := platform(cmd)
			defer p.Close()
			n, err := edit(ctx, p, "key withdraw "+id, func(v *radishspoke.Configuration) error { return withdrawKey(v, id) })
			if err != nil {
				return err
			}
			return c.settle(ctx, cmd, p, change{Version: n, Note: "key withdraw " + id})
		},
	}
}

func withdrawKey(v *radishspoke.Configuration, id string) error {
	for i, k := range v.Document.Keys {
		if k.ID != id {
			continue
		}
		if k.Withdrawn {
			return fmt.Errorf("key %q is withdrawn already", id)
		}
		v.Document.Keys[i].Withdrawn = true
		return nil
	}
	return fmt.Errorf("key %q does not exist in version %d", id, v.Version)
}

func (c *console) keysCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the keys, without their secrets",
		Description: "Example:\n   radishspoke key list",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			v, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			rows := make([][]string, len(v.Document.Keys))
			for i, k := range v.Document.Keys {
				state := "valid"
				if k.Withdrawn {
					state = "withdrawn"
				}
				rows[i] = []string{k.ID, k.Team, state, k.Hash[:hashShown]}
			}
			return c.table(cmd, v.Document.Keys, []string{"KEY", "TEAM", "STATE", "HASH"}, rows)
		},
	}
}

const hashShown = 12 // hex digits
