//go:build review

package player

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is a log of what the stand-ins send and receive. It is safe for concurrent use.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord returns a Record that writes to a new file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Printf writes one line with the present time in seconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...) // Close reports a failed write
}

// Close ends the record.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	if err := r.file.Close(); err != nil {
		return fmt.Errorf("close record: %w", err)
	}
	return nil
}
