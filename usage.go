package radishspoke

import (
	"fmt"
	"time"
)

// Sums is the usage of one team in one window.
type Sums struct {
	Answers int `json:"answers"`
	Prompt  int `json:"prompt"` // tokens
	Cached  int `json:"cached"` // of the prompt tokens
	Output  int `json:"output"` // tokens, or bytes of a service's answers
}

// Add adds the usage of one answer.
func (s *Sums) Add(u Usage) {
	s.Answers++
	s.Prompt += u.Prompt
	s.Cached += u.Cached
	s.Output += u.Output
}

// Join adds other sums.
func (s *Sums) Join(o Sums) {
	s.Answers += o.Answers
	s.Prompt += o.Prompt
	s.Cached += o.Cached
	s.Output += o.Output
}

// UsageWindowLength is the length of a billing window. Windows are numbered by
// it, so it can't be changed.
const UsageWindowLength = time.Minute

// UsageWindow is the number of the billing window that a moment lies in.
func UsageWindow(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// UsagePrefix starts the keys of the parts of a window's usage.
func UsagePrefix(window int64) string { return fmt.Sprintf("usage/part/%012d/", window) }

// UsageThroughKey is the row with how far an entry's usage is recorded.
func UsageThroughKey(process string, incarnation uint64) string {
	return fmt.Sprintf("usage/through/%s-%016x", process, incarnation)
}

// UsagePart is a row with a part of a window's usage: from an entry, its sums;
// from a sidecar that outlived an entry, the answers that it knows of.
type UsagePart struct {
	Process     string          `json:"process"` // the entry
	Incarnation uint64          `json:"incarnation"`
	Teams       map[string]Sums `json:"teams,omitempty"`
	Answers     []MeteredAnswer `json:"answers,omitempty"`
}

// MeteredAnswer is one answer with its number in an entry's usage record.
type MeteredAnswer struct {
	Sequence uint64 `json:"sequence"`
	Team     string `json:"team"`
	Usage    Usage  `json:"usage"`
}

// UsageThrough is the content of a through row.
type UsageThrough struct {
	Sequence uint64 `json:"sequence"`
}

// Times around the end of a window.
const (
	// UsageWriteGrace is how long after its end a window's usage may be
	// written. Later usage goes into the window that is then open.
	UsageWriteGrace = 10 * time.Second

	// UsageFreezeGrace is how long after its end a window's figures are
	// made up. The difference covers writes on their way and clocks that
	// differ.
	UsageFreezeGrace = 25 * time.Second
)
