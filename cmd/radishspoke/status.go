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
	"radishspoke/coordination/validator"
	"radishspoke/internal/assembler"
	"radishspoke/state/storer"
	"radishspoke/state/tracker"
)

const (
	defaultWait    = 13 * time.Second       // default of the flag --wait
	pollInterval   = 100 * time.Millisecond // pause between two rounds of status requests
	maxConcurrency = 64                     // maximum number of status requests at the same time
)

// errPending is returned if a change is committed, but not known to be in force in
// all processes.
var errPending = errors.New("committed, but not yet in force in all processes")

// report is the status of one process. Entry or Sidecar is set, depending on the
// kind of the process, or Error if the status could not be fetched.
type report struct {
	Member  radishspoke.Member       `json:"member"`
	Entry   *assembler.EntryStatus   `json:"entry,omitempty"`
	Sidecar *assembler.SidecarStatus `json:"sidecar,omitempty"`
	Error   string                   `json:"error,omitempty"`
}

// version returns the version of the configuration that is in force in the
// process, or 0 if it is not known.
func (r report) version() int64 {
	switch {
	case r.Entry != nil:
		return r.Entry.ConfigVersion
	case r.Sidecar != nil:
		return r.Sidecar.ConfigVersion
	}
	return 0
}

// fetchReports returns the status of every process in the platform's list of
// processes. The timeout is the time limit of each status request.
func fetchReports(ctx context.Context, client *storer.Client, timeout time.Duration) ([]report, error) {
	members, err := client.Members(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]report, len(members))
	semaphore := make(chan struct{}, maxConcurrency)
	var group sync.WaitGroup
	for i, m := range members {
		group.Add(1)
		go func() {
			defer group.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			out[i] = fetchReport(ctx, m, timeout)
		}()
	}
	group.Wait()
	return out, nil
}

// fetchReport returns the status of one process, or a report with Error set if it
// can't be fetched within the timeout.
func fetchReport(ctx context.Context, m radishspoke.Member, timeout time.Duration) report {
	r := report{Member: m}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var status any
	if m.Kind == tracker.EntryKind {
		r.Entry = &assembler.EntryStatus{}
		status = r.Entry
	} else {
		r.Sidecar = &assembler.SidecarStatus{}
		status = r.Sidecar
	}
	if err := getJSON(ctx, "http://"+m.Manage+"/status", status); err != nil {
		return report{Member: m, Error: err.Error()}
	}
	return r
}

// maxStatusBytes is the maximum length of the status of a process.
const maxStatusBytes = 16 << 20

// getJSON sends a GET request and decodes the JSON body of the response into v.
func getJSON(ctx context.Context, url string, v any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("create status request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("request status: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxStatusBytes)).Decode(v); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	return nil
}

// waitInForce waits until a change is in force in all processes, and writes how
// long that took. Processes that do not answer are ignored once a majority of the
// entries has had the change for longer than validator.MaxProofAge. By then, an
// entry without the change can no longer prove that its configuration is current,
// and refuses requests that need a key. The error wraps errPending if the change is
// not known to be in force when the time of the flag --wait has passed or ctx is
// done.
func (c *console) waitInForce(ctx context.Context, cmd *cli.Command, client *storer.Client, change committedChange) error {
	start := time.Now()
	limit := start.Add(cmd.Duration("wait"))
	var majority time.Time
	for {
		reports, err := fetchReports(ctx, client, time.Second)
		outdated := outdatedReports(reports, change.Version)
		if majority.IsZero() && err == nil && hasMajority(reports, change.Version) {
			majority = time.Now()
		}
		fenced := !majority.IsZero() && time.Since(majority) > validator.MaxProofAge && allFailed(outdated)
		if err == nil && (len(outdated) == 0 || fenced) {
			change.InForce = time.Since(start).Truncate(time.Millisecond).String()
			return c.message(cmd, change, "version %d is in force everywhere after %s (%d processes)", change.Version, change.InForce, len(reports))
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("version %d: %w: %s", change.Version, errPending, describePending(outdated, err))
		}
		time.Sleep(pollInterval)
	}
}

// outdatedReports returns the reports of processes that are not known to have the
// version.
func outdatedReports(reports []report, version int64) []report {
	var out []report
	for _, r := range reports {
		if r.version() < version {
			out = append(out, r)
		}
	}
	return out
}

// hasMajority returns whether a majority of the entries has the version.
func hasMajority(reports []report, version int64) bool {
	entries, upToDate := 0, 0
	for _, r := range reports {
		if r.Member.Kind != tracker.EntryKind {
			continue
		}
		entries++
		if r.version() >= version {
			upToDate++
		}
	}
	return upToDate > entries/2
}

// allFailed returns whether no status could be fetched from any of the processes.
func allFailed(reports []report) bool {
	for _, r := range reports {
		if r.Error == "" {
			return false
		}
	}
	return true
}

// describePending returns why a change is not known to be in force: the error, or
// the outdated processes with their states.
func describePending(outdated []report, err error) string {
	if err != nil {
		return err.Error()
	}
	names := make([]string, 0, len(outdated))
	for _, r := range outdated {
		state := fmt.Sprintf("version %d", r.version())
		if r.Error != "" {
			state = "no answer"
		}
		names = append(names, r.Member.Name+" ("+state+")")
	}
	return strings.Join(names, ", ")
}

// statusCommand returns the command that shows the status of every process.
func (c *console) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the configuration, load and leases of every process",
		Description: "Example:\n   radishspoke status --json",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client := platformClient(cmd)
			defer client.Close()
			reports, err := fetchReports(ctx, client, cmd.Duration("timeout"))
			if err != nil {
				return err
			}
			rows := make([][]string, len(reports))
			for i, r := range reports {
				rows[i] = statusRow(r)
			}
			return c.table(cmd, reports, []string{"PROCESS", "KIND", "ZONE", "CONFIG", "RUNNING", "WAITING", "STATE", "LEASES"}, rows)
		},
	}
}

// statusRow returns the row of a process in the table of the command status.
func statusRow(r report) []string {
	m := r.Member
	switch {
	case r.Entry != nil:
		state := "serving"
		if r.Entry.Leaving {
			state = "leaving"
		} else if !r.Entry.ConfigTrusted {
			state = "no standing"
		}
		return []string{m.Name, m.Kind, m.Zone, fmt.Sprint(r.Entry.ConfigVersion), fmt.Sprint(r.Entry.Running), fmt.Sprint(r.Entry.Waiting), state, leaseNames(r.Entry)}
	case r.Sidecar != nil:
		state := "serving"
		if r.Sidecar.Load.Draining {
			state = "draining"
		}
		return []string{m.Name, m.Kind, m.Zone, fmt.Sprint(r.Sidecar.ConfigVersion), fmt.Sprint(r.Sidecar.Load.Running), "-", state, "-"}
	}
	return []string{m.Name, m.Kind, m.Zone, "-", "-", "-", "no answer", "-"}
}

// leaseNames returns the leases that an entry holds, with their epochs, and its
// rights, separated by spaces.
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

// targetsCommand returns the command that shows the state of every target.
func (c *console) targetsCommand() *cli.Command {
	return &cli.Command{
		Name: "targets", Usage: "show every target, as seen by the entries",
		Description: "Example:\n   radishspoke targets",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client := platformClient(cmd)
			defer client.Close()
			config, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			reports, err := fetchReports(ctx, client, cmd.Duration("timeout"))
			if err != nil {
				return err
			}
			views := targetViews(config, reports)
			rows := make([][]string, len(views))
			for i, t := range views {
				rows[i] = []string{t.Name, t.Kind, t.Zone, t.Serves, t.Role, fmt.Sprintf("%d/%d", t.Reachable, t.Entries), fmt.Sprint(t.Running), t.Blocks, t.State}
			}
			return c.table(cmd, views, []string{"TARGET", "KIND", "ZONE", "SERVES", "ROLE", "REACHED BY", "RUNNING", "FREE KV", "STATE"}, rows)
		},
	}
}

// targetView is the state of one target, combined from the status of all entries.
type targetView struct {
	Name      string `json:"name"`
	Kind      string `json:"kind"`
	Zone      string `json:"zone"`
	Serves    string `json:"serves"`
	Role      string `json:"role"`
	Entries   int    `json:"entries"`     // entries that reported
	Reachable int    `json:"reachable"`   // entries that reported the target as reachable
	Running   int    `json:"running"`     // highest number of running requests that an entry reported
	Blocks    string `json:"free_blocks"` // free and total KV blocks, or "-"
	State     string `json:"state"`       // serving, draining, ejected (by any entry) or unreachable (from all entries)
}

// targetViews returns the states of all targets of a configuration.
func targetViews(config *radishspoke.Configuration, reports []report) []targetView {
	out := make([]targetView, 0, len(config.Inventory.Targets))
	for _, t := range config.Inventory.Targets {
		v := targetView{Name: t.Name, Kind: string(t.Kind), Zone: t.Zone, Serves: t.Model + t.Group, Role: "-", Blocks: "-", State: "serving"}
		if t.Draining {
			v.State = "draining"
		}
		for _, r := range reports {
			if r.Entry != nil {
				v.add(t, r.Entry)
			}
		}
		if v.Entries > 0 && v.Reachable == 0 {
			v.State = "unreachable"
		}
		out = append(out, v)
	}
	return out
}

// add includes the status of an entry in the state of target t.
func (v *targetView) add(t radishspoke.Target, e *assembler.EntryStatus) {
	v.Entries++
	for _, s := range e.Targets {
		if s.Name != v.Name || !s.Reachable {
			continue
		}
		v.Reachable++
		v.Running = max(v.Running, s.Load.Running)
		if s.Ejected {
			v.State = "ejected"
		}
		if t.Kind == radishspoke.EngineTarget {
			v.Role = string(s.Load.Role)
			v.Blocks = fmt.Sprintf("%d/%d", s.Load.FreeBlocks, s.Load.TotalBlocks)
		}
	}
}

// teamsCommand returns the command that shows the settings of every team and the
// number of its valid keys.
func (c *console) teamsCommand() *cli.Command {
	return &cli.Command{
		Name: "teams", Usage: "show the weight, order, rate, burst and number of valid keys of every team",
		Description: "Example:\n   radishspoke teams",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			config, err := readVersion(ctx, cmd, 0)
			if err != nil {
				return err
			}
			validKeys := map[string]int{}
			for _, k := range config.Document.Keys {
				if !k.Withdrawn {
					validKeys[k.Team]++
				}
			}
			rows := make([][]string, len(config.Inventory.Teams))
			for i, t := range config.Inventory.Teams {
				rows[i] = []string{t.Name, fmt.Sprintf("%g", t.Weight), fmt.Sprint(t.Order), fmt.Sprintf("%g", t.Rate), fmt.Sprintf("%g", t.Burst), fmt.Sprint(validKeys[t.Name])}
			}
			return c.table(cmd, config.Inventory.Teams, []string{"TEAM", "WEIGHT", "ORDER", "TOKENS/S", "BURST", "KEYS"}, rows)
		},
	}
}
