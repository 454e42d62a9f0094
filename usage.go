package radishspoke

import (
	"fmt"
	"time"
)

// UsageTotals holds the total usage of one team in one billing window.
type UsageTotals struct {
	Answers int `json:"answers"`
	Prompt  int `json:"prompt"` // tokens
	Cached  int `json:"cached"` // prompt tokens found in the cache
	Output  int `json:"output"` // tokens, or bytes for answers of plain services
}

// Add adds the usage of one answer to s.
func (s *UsageTotals) Add(u Usage) {
	s.Answers++
	s.Prompt += u.Prompt
	s.Cached += u.Cached
	s.Output += u.Output
}

// Merge adds the totals in o to s.
func (s *UsageTotals) Merge(o UsageTotals) {
	s.Answers += o.Answers
	s.Prompt += o.Prompt
	s.Cached += o.Cached
	s.Output += o.Output
}

// UsageWindowLength is the length of a billing window. It must not change,
// because the numbers of windows are derived from it.
const UsageWindowLength = time.Minute

// UsageWindow returns the number of the billing window that contains the time t,
// for windows of the given length. Windows are numbered from the Unix epoch.
func UsageWindow(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// UsagePrefix returns the key prefix of the rows that hold the parts of a
// window's usage.
func UsagePrefix(window int64) string { return fmt.Sprintf("usage/part/%012d/", window) }

// UsageWatermarkKey returns the key of the row that holds the usage watermark
// of one run of an entry.
func UsageWatermarkKey(process string, incarnation uint64) string {
	return fmt.Sprintf("usage/through/%s-%016x", process, incarnation)
}

// UsagePart is the value of a row with a part of the usage in a window. An
// entry writes the totals of its teams. A sidecar that outlives an entry writes
// the answers of that entry that it has a record of.
type UsagePart struct {
	Process     string                 `json:"process"` // name of the entry
	Incarnation uint64                 `json:"incarnation"`
	Teams       map[string]UsageTotals `json:"teams,omitempty"`
	Answers     []MeteredAnswer        `json:"answers,omitempty"`
}

// MeteredAnswer is the usage of one answer with its sequence number in the
// usage record of an entry.
type MeteredAnswer struct {
	Sequence uint64 `json:"sequence"`
	Team     string `json:"team"`
	Usage    Usage  `json:"usage"`
}

// UsageWatermark is the usage watermark of an entry: the sequence number up to
// which its usage has been recorded.
type UsageWatermark struct {
	Sequence uint64 `json:"sequence"`
}

// Grace periods after the end of a billing window.
const (
	// UsageWriteGrace is the time after the end of a window during which its
	// usage may still be written. Later usage counts towards the window that
	// is open at that time.
	UsageWriteGrace = 10 * time.Second

	// UsageFreezeGrace is the time after the end of a window at which its
	// totals are computed. The difference to UsageWriteGrace covers writes in
	// flight and clock skew between hosts.
	UsageFreezeGrace = 25 * time.Second
)
