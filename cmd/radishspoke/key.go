package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/coordination/authenticator"
)

// keyCommand returns the command whose subcommands manage the keys of teams.
func (c *console) keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "grant, withdraw and list keys of teams",
		Commands: []*cli.Command{c.grantCommand(), c.withdrawCommand(), c.keysCommand()},
	}
}

// grantCommand returns the command that creates a key.
func (c *console) grantCommand() *cli.Command {
	return &cli.Command{
		Name: "grant", Usage: "create a key for a team", ArgsUsage: "TEAM",
		Description: "The secret is shown only once, as only its hash is stored.\n\nExample:\n   radishspoke key grant phone-line",
		Flags:       []cli.Flag{waitFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			team, err := argument(cmd, "TEAM")
			if err != nil {
				return err
			}
			client := platformClient(cmd)
			defer client.Close()
			secret := authenticator.NewSecret()
			key := radishspoke.Key{Team: team, Hash: authenticator.Hash(secret)}
			version, err := edit(ctx, client, "key grant "+team, func(config *radishspoke.Configuration) error { return addKey(config, &key) })
			if err != nil {
				return err
			}
			if !cmd.Bool("json") {
				fmt.Fprintf(c.out, "key %s of team %s: %s\n", key.ID, team, secret)
			}
			return c.waitInForce(ctx, cmd, client, committedChange{Version: version, Note: "key grant " + team})
		},
	}
}

// addKey adds a key to a configuration and sets its id to TEAM-NUMBER. The number is
// one more than the number of keys that the team already has, including withdrawn
// ones. No earlier key of the team has had this id, as keys are never removed from a
// configuration. addKey returns an error if the team does not exist.
func addKey(config *radishspoke.Configuration, key *radishspoke.Key) error {
	if _, ok := config.Inventory.Team(key.Team); !ok {
		return fmt.Errorf("team %q does not exist in version %d", key.Team, config.Version)
	}
	number := 1
	for _, k := range config.Document.Keys {
		if k.Team == key.Team {
			number++
		}
	}
	key.ID = fmt.Sprintf("%s-%d", key.Team, number)
	config.Document.Keys = append(config.Document.Keys, *key)
	return nil
}

// withdrawCommand returns the command that withdraws a key.
func (c *console) withdrawCommand() *cli.Command {
	return &cli.Command{
		Name: "withdraw", Usage: "withdraw a key, also for connected callers", ArgsUsage: "KEY-ID",
		Description: "Running requests are completed, and new ones are refused.\n\nExample:\n   radishspoke key withdraw phone-line-1",
		Flags:       []cli.Flag{waitFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := argument(cmd, "KEY-ID")
			if err != nil {
				return err
			}
			client := platformClient(cmd)
			defer client.Close()
			version, err := edit(ctx, client, "key withdraw "+id, func(config *radishspoke.Configuration) error { return withdrawKey(config, id) })
			if err != nil {
				return err
			}
			return c.waitInForce(ctx, cmd, client, committedChange{Version: version, Note: "key withdraw " + id})
		},
	}
}

// withdrawKey marks the key with the given id as withdrawn. It returns an error if
// there is no such key, or if it has already been withdrawn.
func withdrawKey(config *radishspoke.Configuration, id string) error {
	for i, k := range config.Document.Keys {
		if k.ID != id {
			continue
		}
		if k.Withdrawn {
			return fmt.Errorf("key %q has already been withdrawn", id)
		}
		config.Document.Keys[i].Withdrawn = true
		return nil
	}
	return fmt.Errorf("key %q does not exist in version %d", id, config.Version)
}

// keysCommand returns the command that lists the keys.
func (c *console) keysCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the keys, without their secrets",
		Description: "Example:\n   radishspoke key list",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			config, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			rows := make([][]string, len(config.Document.Keys))
			for i, k := range config.Document.Keys {
				state := "valid"
				if k.Withdrawn {
					state = "withdrawn"
				}
				rows[i] = []string{k.ID, k.Team, state, k.Hash[:hashPrefix]}
			}
			return c.table(cmd, config.Document.Keys, []string{"KEY", "TEAM", "STATE", "HASH"}, rows)
		},
	}
}

// hashPrefix is the number of hexadecimal digits of a hash that are shown.
const hashPrefix = 12
