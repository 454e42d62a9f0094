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

// errNoLines is returned if the logs have no line about the request.
var errNoLines = errors.New("no log line has this request id")

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// whyCommand returns the command that shows what collected logs say about a
// request.
func whyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "show the log lines about a request and about the targets that it was sent to",
		ArgsUsage: "ID",
		Description: "The lines with the id of the request come first, followed by the lines that any\n" +
			"process logged about its targets before it ended.\n\n" +
			"Example:\n   radishspoke why 8f3df12a2320f59d --logs front-1.log --logs front-2.log",
		Flags: []cli.Flag{&cli.StringSliceFlag{Name: "logs", Usage: "log `FILE` to read; may be repeated", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" {
				return errors.New("argument ID, the id of a request, is missing")
			}
			var lines []string
			for _, name := range c.StringSlice("logs") {
				f, err := os.Open(name)
				if err != nil {
					return fmt.Errorf("read log: %w", err)
				}
				more, err := readLines(f)
				_ = f.Close() // reading only, so nothing can be lost
				if err != nil {
					return fmt.Errorf("read log %s: %w", name, err)
				}
				lines = append(lines, more...)
			}
			return explain(c.Root().Writer, lines, id)
		},
	}
}

// readLines returns the log lines in r, each without the text before its field
// "time". Lines without that field are left out.
func readLines(r io.Reader) ([]string, error) {
	var out []string
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if i := strings.Index(s.Text(), "time="); i >= 0 {
			out = append(out, s.Text()[i:]) // log collectors add a prefix to each line
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("scan lines: %w", err)
	}
	return out, nil
}

// field returns the value of a field of a log line, or "" if there is none.
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

// explain sorts the lines by time and writes those about the request with the given
// id. Indented lines follow: those about its targets, up to the time of the last line
// about the request. The error wraps errNoLines if no line is about the request.
func explain(w io.Writer, lines []string, id string) error {
	sort.Strings(lines) // by time, which is the first field
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
			return fmt.Errorf("write log line: %w", err)
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
			return fmt.Errorf("write log line: %w", err)
		}
	}
	return nil
}
