package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/transport"
)

// fakeCommand returns the command whose subcommands each run a fake of an external
// system.
func fakeCommand() *cli.Command {
	address := &cli.StringFlag{Name: "address", Usage: "`IP:PORT` to listen on", Required: true}
	return &cli.Command{
		Name:  "fake",
		Usage: "run a fake of an external system as a process",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "run a fake of the platform services: table service, object store and list of processes",
				Description: "PUT /faults injects faults, such as {\"outage\":true}, {\"slow_ms\":500} or {\"lose_answers\":3}.\n\n" +
					"Example:\n   radishspoked fake platform --address 127.0.0.1:21000",
				Flags: []cli.Flag{address, &cli.DurationFlag{Name: "host-lag", Usage: "`TIME` after which a change appears in the list of processes"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					p := fake.NewPlatform()
					p.HostLag = c.Duration("host-lag")
					return serve(ctx, c.String("address"), p.Handler())
				},
			},
			{
				Name: "engine", Usage: "run a fake of an engine",
				Description: "Example:\n   radishspoked fake engine --address 127.0.0.1:21101 --name engine-1 --model venue-reader --model-version 2026-05",
				Flags: []cli.Flag{
					address,
					&cli.StringFlag{Name: "name", Usage: "`NAME` of the target", Required: true},
					&cli.StringFlag{Name: "model", Usage: "loaded `MODEL`", Required: true},
					&cli.StringFlag{Name: "model-version", Usage: "`VERSION` of the model"},
					&cli.IntFlag{Name: "slots", Value: 32, Usage: "maximum `NUMBER` of sequences in a batch"},
					&cli.BoolFlag{Name: "fencing", Usage: "refuse orders with outdated fencing numbers"},
					&cli.DurationFlag{Name: "load-lag", Value: 200 * time.Millisecond, Usage: "`TIME` by which load reports are delayed"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					e := fake.NewEngine(fake.EngineSettings{
						Name: c.String("name"), Model: c.String("model"), Version: c.String("model-version"),
						Role: radishspoke.BothRole, Slots: c.Int("slots"), Fencing: c.Bool("fencing"), LoadLag: c.Duration("load-lag"),
					})
					defer e.Close()
					return serve(ctx, c.String("address"), e.Handler())
				},
			},
			{
				Name: "service", Usage: "run a fake of a service, a ledger that records orders",
				Description: "Example:\n   radishspoked fake service --address 127.0.0.1:21151",
				Flags:       []cli.Flag{address, &cli.DurationFlag{Name: "delay", Usage: "`TIME` from the recording of an order to the response"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					l := &fake.Ledger{Delay: c.Duration("delay")}
					return serve(ctx, c.String("address"), l.Handler())
				},
			},
		},
	}
}

// headerTimeout is the time limit for reading the header of a request.
const headerTimeout = 5 * time.Second

// serve runs an HTTP server at address until ctx is done.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := (&transport.TCP{}).Listen(address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	fmt.Printf("listening at %s\n", address)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve at %s: %w", address, err)
	}
	return nil
}
