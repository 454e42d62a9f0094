package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// errNoLines says that no log has a line about what was asked for.
var errNoLines = errors.New("no line about it in these logs")

// mostLine is the longest log line that is read, in bytes.
const mostLine = 1 << 20

// whyCommand finds what collected logs say of a request.
func whyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "show what collected logs say of a request and of the targets on its way",
		ArgsUsage: "ID",
		Description: "The lines with the request's id come first, then what the processes\n" +
			"learnt of the targets on its way before it ended.\n\n" +
			"Example:\n   radishspoke why 8f3df12a2320f59d --logs front-1.log --logs front-2.log",
		Flags: []cli.Flag{&cli.StringSliceFlag{Name: "logs", Usage: "read the log `FILE`; may be given more than once", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return errors.New("name a request's id")
			}
			var lines []string
			for _, name := range c.StringSlice("logs") {
				f, err := os.Open(name)
				if err != nil {
					return fmt.Errorf("read log: %w", err)
				}
				more, err := readLines(f)
				_ = f.Close() // it was only read
				if err != nil {
					return fmt.Errorf("read log %s: %w", name, err)
				}
				lines = append(lines, more...)
			}
			return explain(c.Root().Writer, lines, id)
		},
	}
}

func readLines(r io.Reader) ([]string, error) {
	var out []string
	s := bufio.NewScanner(r)
	s.Buffer(nil, mostLine)
	for s.Scan() {
		if i := strings.Index(s.Text(), "time="); i >= 0 {
			out = append(out, s.Text()[i:]) // collectors put their own marks before it
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("scan lines: %w", err)
	}
	return out, nil
}

// field returns a field of a log line, or "".
func field(line, name string) string {
	i := strings.Index(" "+line, " "+name+"=")
	if i < 0 {
		return ""
	}
	v := line[i+len(name)+1:]
	if strings.HasPrefix(v, `"`) {
		v, _, _ = strings.Cut(v[1:], `"`)
		return v
	}
	v, _, _ = strings.Cut(v, " ")
	return v
}

// explain writes the lines about a request, then the changes of what was
// believed of its targets before it ended.
func explain(w io.Writer, lines []string, id string) error {
	sort.Strings(lines) // they begin with their time
	targets := map[string]bool{}
	end := ""
	for _, l := range lines {
		if field(l, "id") != id {
			continue
		}
		end = field(l, "time")
		for _, t := range strings.Split(field(l, "targets"), ",") {
			targets[t] = t != ""
		}
		if _, err := fmt.Fprintln(w, l); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	if end == "" {
		return fmt.Errorf("request %s: %w", id, errNoLines)
	}
	for _, l := range lines {
		t := field(l, "target") + field(l, "engine")
		if !targets[t] || field(l, "time") > end {
			continue
		}
		if _, err := fmt.Fprintln(w, "  "+l); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}
