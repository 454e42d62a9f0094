package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/coordination/fleetdispatcher"
	"radishspoke/internal/assembler"
)

// maxLocationBytes bounds the answer of an entry.
const maxLocationBytes = 4 << 20

// whereCommand returns the command that asks an entry where a request would go.
func (c *console) whereCommand() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "show where a request would go now, and why, without sending it",
		Description: "The entry answers from its own state. Costs compare targets of one role.\n\n" +
			"Example:\n   radishspoke where --entry 10.0.0.1:7000 --route r-read --team jeba110 --prompt 9000 --output 240 --part common:6100 --part own:2900 --deadline 2s",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "`IP:PORT` at which the entry talks to others", Required: true},
			&cli.StringFlag{Name: "route", Usage: "`NAME` of the route", Required: true},
			&cli.StringFlag{Name: "team", Usage: "`NAME` of the team"},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the request"},
			&cli.DurationFlag{Name: "deadline", Usage: "`TIME` in which the caller needs the answer; 0 for the limit of the route"},
			&cli.IntFlag{Name: "prompt", Usage: "`TOKENS` of the prompt; 0 for plain services"},
			&cli.IntFlag{Name: "output", Usage: "maximum `TOKENS` of the answer"},
			&cli.StringSliceFlag{Name: "part", Usage: "part of the prompt, `ID:TOKENS`; may be repeated"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			q, err := newQuestion(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			l, err := askWhere(ctx, cmd.String("entry"), q)
			if err != nil {
				return err
			}
			return c.location(cmd, l)
		},
	}
}

// newQuestion returns the question that the flags state.
func newQuestion(cmd *cli.Command) (fleetdispatcher.Question, error) {
	q := fleetdispatcher.Question{Route: cmd.String("route"), Team: cmd.String("team"), ID: cmd.String("id"), Deadline: cmd.Duration("deadline")}
	if cmd.Int("prompt") == 0 {
		return q, nil
	}
	q.Generation = &radishspoke.GenerationInfo{Prompt: cmd.Int("prompt"), Output: cmd.Int("output")}
	for _, p := range cmd.StringSlice("part") {
		id, tokens, _ := strings.Cut(p, ":")
		n, err := strconv.Atoi(tokens)
		if err != nil {
			return q, fmt.Errorf("part %q: %w", p, err)
		}
		q.Generation.Parts = append(q.Generation.Parts, radishspoke.PromptPart{ID: id, Tokens: n})
	}
	return q, nil
}

// askWhere asks the entry at an address.
func askWhere(ctx context.Context, address string, q fleetdispatcher.Question) (l fleetdispatcher.Location, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+assembler.EncodeQuestion(q), nil)
	if err != nil {
		return l, fmt.Errorf("ask entry %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return l, fmt.Errorf("ask entry %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }() // nothing can be lost by reading
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLocationBytes))
	if err != nil {
		return l, fmt.Errorf("read the answer of entry %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return l, errors.Errorf("entry %s: %s", address, strings.TrimSpace(string(data)))
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, fmt.Errorf("decode the answer of entry %s: %w", address, err)
	}
	return l, nil
}

// location prints where a request would go.
func (c *console) location(cmd *cli.Command, l fleetdispatcher.Location) error {
	if cmd.Bool("json") {
		return c.json(l)
	}
	decision := "admitted"
	if !l.Admitted {
		decision = "rejected (" + l.Reason + ")"
	}
	fmt.Fprintf(c.out, "group %s: %s, %.2f of such requests are admitted", l.Group, decision, l.Fraction)
	if l.RetryAfter > 0 {
		fmt.Fprintf(c.out, ", retry after %v", l.RetryAfter.Round(time.Millisecond))
	}
	fmt.Fprintf(c.out, ", first token after %v\n", l.FirstToken.Round(time.Microsecond))
	rows := make([][]string, len(l.Candidates))
	for i, t := range l.Candidates {
		reason := t.Reason
		if t.Chosen {
			reason = "chosen"
		}
		round := func(d time.Duration) string { return d.Round(time.Microsecond).String() }
		rows[i] = []string{t.ID, t.Zone, string(t.Role), round(t.Wait), round(t.Transfer), round(t.Prefill), round(t.Cost), reason}
	}
	return c.table(cmd, l, []string{"TARGET", "ZONE", "ROLE", "WAIT", "TRANSFER", "PREFILL", "COST", "WHY"}, rows)
}
