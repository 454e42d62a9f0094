package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"radishspoke"
	"radishspoke/coordination/voucher"
	"radishspoke/internal/assembler"
	"radishspoke/state/storer"
	"radishspoke/state/tracker"
)

const (
	defaultWait = 13 * time.Second
	waitPause   = 100 * time.Millisecond
	atOnce      = 64 // processes asked at the same time
)

// errPending says that a change is committed but not known to be in force
// everywhere.
var errPending = errors.New("committed, but not yet in force everywhere")

// report is what one process says of itself, or why it says nothing.
type report struct {
	Member radishspoke.Member       `json:"member"`
	Entry  *assembler.EntryStatus   `json:"entry,omitempty"`
	Side   *assembler.SidecarStatus `json:"sidecar,omitempty"`
	Error  string                   `json:"error,omitempty"`
}

func (r report) version() int64 {
	switch {
	case r.Entry != nil:
		return r.Entry.ConfigVersion
	case r.Side != nil:
		return r.Side.ConfigVersion
	}
	return 0
}

// ask returns the reports of every process on the platform's list.
func ask(ctx context.Context, p *storer.Client, timeout time.Duration) ([]report, error) {
	members, err := p.Members(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]report, len(members))
	slots := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i, m := range members {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = askOne(ctx, m, timeout)
		}()
	}
	group.Wait()
	return out, nil
}

func askOne(ctx context.Context, m radishspoke.Member, timeout time.Duration) report {
	r := report{Member: m}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var v any
	if m.Kind == tracker.EntryKind {
		r.Entry = &assembler.EntryStatus{}
		v = r.Entry
	} else {
		r.Side = &assembler.SidecarStatus{}
		v = r.Side
	}
	if err := getJSON(ctx, "http://"+m.Manage+"/status", v); err != nil {
		return report{Member: m, Error: err.Error()}
	}
	return r
}

func getJSON(ctx context.Context, url string, v any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("ask for status: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	if err := json.NewDecoder(a.Body).Decode(v); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	return nil
}

// settle waits until a change is in force and tells how long that took. An
// entry that can't be asked has lost its standing, and so takes no keyed
// requests, once the bound has passed since a majority of the entries had the
// change.
func (c *console) settle(ctx context.Context, cmd *cli.Command, p *storer.Client, done change) error {
	start := time.Now()
	limit := start.Add(cmd.Duration("wait"))
	var majority time.Time
	for {
		list, err := ask(ctx, p, time.Second)
		missing := lacking(list, done.Version)
		if majority.IsZero() && err == nil && hasMajority(list, done.Version) {
			majority = time.Now()
		}
		fenced := !majority.IsZero() && time.Since(majority) > voucher.Bound && onlySilent(missing)
		if err == nil && (len(missing) == 0 || fenced) {
			done.InForce = time.Since(start).Truncate(time.Millisecond).String()
			return c.say(cmd, done, "version %d is in force everywhere after %s (%d processes)", done.Version, done.InForce, len(list))
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("version %d: %w: %s", done.Version, errPending, describe(missing, err))
		}
		time.Sleep(waitPause)
	}
}

func lacking(list []report, version int64) []report {
	var out []report
	for _, r := range list {
		if r.version() < version {
			out = append(out, r)
		}
	}
	return out
}

func hasMajority(list []report, version int64) bool {
	all, have := 0, 0
	for _, r := range list {
		if r.Member.Kind != tracker.EntryKind {
			continue
		}
		all++
		if r.version() >= version {
			have++
		}
	}
	return have > all/2
}

func onlySilent(list []report) bool {
	for _, r := range list {
		if r.Error == "" {
			return false
		}
	}
	return true
}

func describe(missing []report, err error) string {
	if err != nil {
		return err.Error()
	}
	names := make([]string, 0, len(missing))
	for _, r := range missing {
		state := fmt.Sprintf("version %d", r.version())
		if r.Error != "" {
			state = "no answer"
		}
		names = append(names, r.Member.Name+" ("+state+")")
	}
	return strings.Join(names, ", ")
}

func (c *console) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every process: configuration, load and leases",
		Description: "Example:\n   radishspoke status --json",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p := platform(cmd)
			defer p.Close()
			list, err := ask(ctx, p, cmd.Duration("timeout"))
			if err != nil {
				return err
			}
			rows := make([][]string, len(list))
			for i, r := range list {
				rows[i] = statusRow(r)
			}
			return c.table(cmd, list, []string{"PROCESS", "KIND", "ZONE", "CONFIG", "RUNNING", "WAITING", "STATE", "LEASES"}, rows)
		},
	}
}

func statusRow(r report) []string {
	m := r.Member
	switch {
	case r.Entry != nil:
		state := "serving"
		if r.Entry.Leaving {
			state = "leaving"
		} else if !r.Entry.Standing {
			state = "no standing"
		}
		return []string{m.Name, m.Kind, m.Zone, fmt.Sprint(r.Entry.ConfigVersion), fmt.Sprint(r.Entry.Running), fmt.Sprint(r.Entry.Waiting), state, leaseNames(r.Entry)}
	case r.Side != nil:
		state := "serving"
		if r.Side.Load.Draining {
			state = "draining"
		}
		return []string{m.Name, m.Kind, m.Zone, fmt.Sprint(r.Side.ConfigVersion), fmt.Sprint(r.Side.Load.Running), "-", state, "-"}
	}
	return []string{m.Name, m.Kind, m.Zone, "-", "-", "-", "no answer", "-"}
}

func leaseNames(e *assembler.EntryStatus) string {
	names := make([]string, 0, len(e.Leases))
	for n, l := range e.Leases {
		names = append(names, fmt.Sprintf("%s/%d", n, l.Epoch))
	}
	names = append(names, e.Rights...)
	sort.Strings(names)
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, " ")
}

func (c *console) targetsCommand() *cli.Command {
	return &cli.Command{
		Name: "targets", Usage: "show every target as the entries see it",
		Description: "Example:\n   radishspoke targets",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p := platform(cmd)
			defer p.Close()
			v, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			list, err := ask(ctx, p, cmd.Duration("timeout"))
			if err != nil {
				return err
			}
			views := viewTargets(v, list)
			rows := make([][]string, len(views))
			for i, t := range views {
				rows[i] = []string{t.Name, t.Kind, t.Zone, t.Serves, t.Role, fmt.Sprintf("%d/%d", t.Reachable, t.Entries), fmt.Sprint(t.Running), t.Blocks, t.State}
			}
			return c.table(cmd, views, []string{"TARGET", "KIND", "ZONE", "SERVES", "ROLE", "REACHED BY", "RUNNING", "FREE KV", "STATE"}, rows)
		},
	}
}

// targetView joins what the entries say of one target.
type targetView struct {
	Name      string `json:"name"`
	Kind      string `json:"kind"`
	Zone      string `json:"zone"`
	Serves    string `json:"serves"`
	Role      string `json:"role"`
	Entries   int    `json:"entries"`
	Reachable int    `json:"reachable"`
	Running   int    `json:"running"`
	Blocks    string `json:"free_blocks"`
	State     string `json:"state"`
}

func viewTargets(v *radishspoke.Configuration, list []report) []targetView {
	out := make([]targetView, 0, len(v.Inventory.Targets))
	for _, t := range v.Inventory.Targets {
		w := targetView{Name: t.Name, Kind: string(t.Kind), Zone: t.Zone, Serves: t.Model + t.Group, Role: "-", Blocks: "-", State: "serving"}
		if t.Draining {
			w.State = "draining"
		}
		for _, r := range list {
			if r.Entry != nil {
				w.join(t, r.Entry)
			}
		}
		if w.Entries > 0 && w.Reachable == 0 {
			w.State = "unreachable"
		}
		out = append(out, w)
	}
	return out
}

func (w *targetView) join(t radishspoke.Target, e *assembler.EntryStatus) {
	w.Entries++
	for _, s := range e.Targets {
		if s.Name != w.Name || !s.Reachable {
			continue
		}
		w.Reachable++
		w.Running = max(w.Running, s.Load.Running)
		if s.Ejected {
			w.State = "ejected"
		}
		if t.Kind == radishspoke.EngineTarget {
			w.Role = string(s.Load.Role)
			w.Blocks = fmt.Sprintf("%d/%d", s.Load.FreeBlocks, s.Load.TotalBlocks)
		}
	}
}

func (c *console) teamsCommand() *cli.Command {
	return &cli.Command{
		Name: "teams", Usage: "show every team's weight, order, rate, burst and keys",
		Description: "Example:\n   radishspoke teams",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			v, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			valid := map[string]int{}
			for _, k := range v.Document.Keys {
				if !k.Withdrawn {
					valid[k.Team]++
				}
			}
			rows := make([][]string, len(v.Inventory.Teams))
			for i, t := range v.Inventory.Teams {
				rows[i] = []string{t.Name, fmt.Sprintf("%g", t.Weight), fmt.Sprint(t.Order), fmt.Sprintf("%g", t.Rate), fmt.Sprintf("%g", t.Burst), fmt.Sprint(valid[t.Name])}
			}
			return c.table(cmd, v.Inventory.Teams, []string{"TEAM", "WEIGHT", "ORDER", "TOKENS/S", "BURST", "KEYS"}, rows)
		},
	}
}
