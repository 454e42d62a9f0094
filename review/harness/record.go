//go:build review

package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what happens to a file, with the time since its creation.
type Record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord returns a Record in the file with the given path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{started: time.Now(), file: f}, nil
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
