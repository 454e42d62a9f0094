package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/examples"
	"radishspoke/internal/assembler"
	"radishspoke/state/parser"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// devCommand returns the command that runs a development deployment.
func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a deployment in one process on the loopback address, with fake targets",
		Description: "The process runs a fake platform, fake engines and services as in an inventory, their sidecars,\n" +
			"and entries. It prints requests that can be sent to it, and runs until it is interrupted.\n\n" +
			"Examples:\n   radishspoked dev\n   radishspoked dev --inventory examples/thunder-bay.ini --log debug",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "inventory", Aliases: []string{"i"}, Usage: "inventory `FILE`; by default, the example nour-festons.ini"},
			&cli.StringFlag{Name: "log", Value: "warn", Usage: "lowest `LEVEL` of log lines"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "`NUMBER` of entries"},
		},
		Action: runDev,
	}
}

// runDev runs a development deployment until ctx is done.
func runDev(ctx context.Context, c *cli.Command) error {
	name, data, err := devInventory(c.String("inventory"))
	if err != nil {
		return err
	}
	inventory, err := parser.ParseInventory(name, data)
	if err != nil {
		return fmt.Errorf("inventory is not valid:\n%w", err)
	}
	env := assembler.Environment{Network: &transport.TCP{}, Clock: ticker.BootClock{}, Log: logger(c.String("log")), Seed: rand.Uint64()}
	deployment, err := assembler.NewDev(ctx, assembler.DevSettings{Inventory: data, Entries: c.Int("entries")}, env)
	if err != nil {
		return err
	}
	defer deployment.Close()
	fmt.Print(devGuide(deployment, &inventory, c.Int("entries")))
	<-ctx.Done()
	return nil
}

// devInventory returns the name and the content of the inventory file at path, or
// of the example inventory if path is empty.
func devInventory(path string) (name string, data []byte, err error) {
	if path == "" {
		name = "nour-festons.ini"
		data, err = examples.Files.ReadFile(name)
	} else {
		name = path
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return "", nil, fmt.Errorf("read inventory: %w", err)
	}
	return name, data, nil
}

// devGuide returns the text that describes a development deployment: its
// addresses, the keys of the teams, and commands that send requests to it.
func devGuide(deployment *assembler.Dev, inventory *radishspoke.Inventory, entries int) string {
	var b strings.Builder
	team := inventory.Teams[0].Name
	key := deployment.Secrets[team]
	fmt.Fprintf(&b, "radishspoke %s: %d targets, %d entries, platform at %s\n", radishspoke.Version, len(inventory.Targets), entries, assembler.DevPlatformAddress())
	for i := range entries {
		fmt.Fprintf(&b, "entry-%d: callers %s, operators %s\n", i+1, assembler.DevCallerAddress(i), assembler.DevOperatorAddress(i))
	}
	b.WriteString("\nKeys:\n")
	for _, t := range deployment.Teams() {
		fmt.Fprintf(&b, "  %-14s %s\n", t, deployment.Secrets[t])
	}
	b.WriteString("\nTry:\n")
	model := inventory.Models[len(inventory.Models)-1].Name
	fmt.Fprintf(&b, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n"+
		"    -d '{\"model\":%q,\"stream\":true,\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"Is the hall free on Friday?\"}]}'\n",
		assembler.DevCallerAddress(0), key, model)
	for _, r := range inventory.Routes {
		if r.Kind != radishspoke.ServiceRoute {
			continue
		}
		auth := ""
		if !r.Open {
			auth = fmt.Sprintf(" -H 'Authorization: Bearer %s'", key)
		}
		if r.Idempotent {
			fmt.Fprintf(&b, "  curl http://%s%s/item-1%s\n", assembler.DevCallerAddress(0), r.Path, auth)
		} else {
			fmt.Fprintf(&b, "  curl http://%s%s%s -H 'Idempotency-Key: order-1' -d '{\"item\":\"item-1\",\"count\":2}'\n", assembler.DevCallerAddress(0), r.Path, auth)
		}
	}
	fmt.Fprintf(&b, "  go run ./cmd/radishspoke --platform %s status\n", assembler.DevPlatformAddress())
	return b.String()
}
