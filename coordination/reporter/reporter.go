package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
)

// Keys of the rows that a Reporter writes.
const (
	freezeKey    = "usage/freeze"  // the next window to freeze
	reportKey    = "usage/report"  // the next window to report
	frozenPrefix = "usage/frozen/" // followed by the window
)

// progress is the content of the rows freezeKey and reportKey: the next window to
// freeze or to report.
type progress struct {
	Window int64 `json:"window"`

	// Sender is the name of the process that is about to report the window,
	// and Epoch the epoch of its lease. Both are set only in the row
	// reportKey.
	Sender string `json:"sender,omitempty"`
	Epoch  int64  `json:"epoch,omitempty"`
}

// Figures holds the reported usage of one window.
type Figures struct {
	Window int64        `json:"window"`
	From   time.Time    `json:"from"`
	To     time.Time    `json:"to"`
	Teams  []TeamFigure `json:"teams"`
}

// TeamFigure holds the usage of one team.
type TeamFigure struct {
	Team string `json:"team"`
	radishspoke.UsageTotals
}

// Tenure returns the epoch of this process's lease as the reporter, and whether
// it holds the lease now.
type Tenure func() (epoch int64, ok bool)

// Reporter freezes and reports windows. Create it with New.
type Reporter struct {
	platform radishspoke.Platform
	name     string
	tenure   Tenure
	window   func() time.Duration
}

// New returns the Reporter of the process with the name. The function window
// returns the length of a billing window.
func New(p radishspoke.Platform, name string, t Tenure, window func() time.Duration) *Reporter {
	return &Reporter{platform: p, name: name, tenure: t, window: window}
}

// Step freezes the windows that are due and reports those that are frozen, if this
// process is the reporter. It stops at the first error and returns it.
func (r *Reporter) Step(ctx context.Context) error {
	for range maxWindowsPerStep {
		more, err := r.freeze(ctx, time.Now())
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	for range maxWindowsPerStep {
		more, err := r.report(ctx)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// maxWindowsPerStep is the largest number of windows that one call of Step
// freezes, and of those that it reports.
const maxWindowsPerStep = 60

// freeze computes and writes the figures of the next window if it is due. It
// reports whether another window may be due.
func (r *Reporter) freeze(ctx context.Context, now time.Time) (bool, error) {
	if _, ok := r.tenure(); !ok {
		return false, nil
	}
	length := r.window()
	p, version, err := r.progress(ctx, freezeKey)
	if errors.Is(err, radishspoke.ErrNotFound) {
		return true, r.initProgress(ctx, now, length)
	}
	if err != nil {
		return false, err
	}
	end := (p.Window + 1) * int64(length)
	if now.UnixNano() < end+int64(radishspoke.UsageFreezeGrace) {
		return false, nil
	}
	f, err := r.figures(ctx, p.Window, length)
	if err != nil {
		return false, err
	}
	data, err := json.Marshal(f)
	if err != nil {
		return false, fmt.Errorf("encode figures: %w", err)
	}
	next := encodeProgress(progress{Window: p.Window + 1})
	err = r.platform.Commit(ctx, uuid.NewString(),
		radishspoke.Write{Key: freezeKey, Value: next, Version: version},
		radishspoke.Write{Key: frozenKey(p.Window), Value: data})
	if err != nil {
		return false, fmt.Errorf("freeze window %d: %w", p.Window, err)
	}
	return true, nil
}

// initProgress writes both progress rows for the oldest window with usage, or for
// the current one.
func (r *Reporter) initProgress(ctx context.Context, now time.Time, length time.Duration) error {
	first := radishspoke.UsageWindow(now, length)
	rows, err := r.platform.List(ctx, "usage/part/")
	if err != nil {
		return fmt.Errorf("list usage: %w", err)
	}
	for _, row := range rows {
		var w int64
		if _, err := fmt.Sscanf(row.Key, "usage/part/%d/", &w); err == nil {
			first = min(first, w)
		}
	}
	next := encodeProgress(progress{Window: first})
	err = r.platform.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: freezeKey, Value: next}, radishspoke.Write{Key: reportKey, Value: next})
	if err != nil {
		return fmt.Errorf("initialize progress rows at window %d: %w", first, err)
	}
	return nil
}

// figures adds up the usage rows of a window. Answers that a sidecar wrote for an
// ended entry are skipped if the entry wrote them itself.
func (r *Reporter) figures(ctx context.Context, window int64, length time.Duration) (Figures, error) {
	rows, err := r.platform.List(ctx, radishspoke.UsagePrefix(window))
	if err != nil {
		return Figures{}, fmt.Errorf("read usage of window %d: %w", window, err)
	}
	teams := map[string]radishspoke.UsageTotals{}
	for _, row := range rows {
		var p radishspoke.UsagePart
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return Figures{}, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		for t, s := range p.Teams {
			sum := teams[t]
			sum.Merge(s)
			teams[t] = sum
		}
		if len(p.Answers) > 0 {
			if err := r.addAnswers(ctx, teams, p); err != nil {
				return Figures{}, err
			}
		}
	}
	f := Figures{Window: window, From: time.Unix(0, window*int64(length)).UTC(), To: time.Unix(0, (window+1)*int64(length)).UTC(), Teams: []TeamFigure{}}
	for t, s := range teams {
		f.Teams = append(f.Teams, TeamFigure{Team: t, UsageTotals: s})
	}
	sort.Slice(f.Teams, func(i, j int) bool { return f.Teams[i].Team < f.Teams[j].Team })
	return f, nil
}

// addAnswers adds the answers that a sidecar wrote for an entry to the sums by
// team, except those that the entry wrote itself.
func (r *Reporter) addAnswers(ctx context.Context, teams map[string]radishspoke.UsageTotals, p radishspoke.UsagePart) error {
	var through radishspoke.UsageWatermark
	row, err := r.platform.Read(ctx, radishspoke.UsageWatermarkKey(p.Process, p.Incarnation))
	switch {
	case errors.Is(err, radishspoke.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read usage of %s: %w", p.Process, err)
	default:
		if err := json.Unmarshal(row.Value, &through); err != nil {
			return fmt.Errorf("decode %s: %w", row.Key, err)
		}
	}
	for _, a := range p.Answers {
		if a.Sequence <= through.Sequence {
			continue
		}
		sum := teams[a.Team]
		sum.Add(a.Usage)
		teams[a.Team] = sum
	}
	return nil
}

// report sends the figures of the next window to report if they are frozen. It
// reports whether another window may be due.
func (r *Reporter) report(ctx context.Context) (bool, error) {
	epoch, ok := r.tenure()
	if !ok {
		return false, nil
	}
	p, version, err := r.progress(ctx, reportKey)
	if err != nil {
		return false, err
	}
	row, err := r.platform.Read(ctx, frozenKey(p.Window))
	if errors.Is(err, radishspoke.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("read frozen window %d: %w", p.Window, err)
	}
	if p.Epoch > epoch {
		return false, nil
	}
	p.Sender, p.Epoch = r.name, epoch
	if err := r.platform.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: reportKey, Value: encodeProgress(p), Version: version}); err != nil {
		return false, fmt.Errorf("record sender of the report of window %d: %w", p.Window, err)
	}
	if _, ok := r.tenure(); !ok {
		return false, nil
	}
	name := strings.TrimPrefix(frozenKey(p.Window), frozenPrefix)
	if err := r.platform.ReportUsage(ctx, name, r.name, row.Value); err != nil {
		return false, err
	}
	next := encodeProgress(progress{Window: p.Window + 1})
	if err := r.platform.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: reportKey, Value: next, Version: version + 1}); err != nil {
		return false, fmt.Errorf("record report of window %d: %w", p.Window, err)
	}
	return true, nil
}

// progress returns the content and version of a progress row.
func (r *Reporter) progress(ctx context.Context, key string) (progress, int64, error) {
	row, err := r.platform.Read(ctx, key)
	if err != nil {
		return progress{}, 0, fmt.Errorf("read progress row: %w", err)
	}
	var p progress
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return progress{}, 0, fmt.Errorf("decode %s: %w", key, err)
	}
	return p, row.Version, nil
}

// frozenKey returns the key of the row with the figures of a window.
func frozenKey(window int64) string { return fmt.Sprintf("%s%012d", frozenPrefix, window) }

func encodeProgress(p progress) []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic("reporter: " + err.Error()) // progress has no value that json.Marshal rejects
	}
	return b
}
