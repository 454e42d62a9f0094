package radishspoke

import (
	"context"

	"github.com/pkg/errors"
)

// Errors that the platform's services give.
var (
	// ErrConflict says that a conditional write met another version. The
	// write had no effect.
	ErrConflict = errors.New("row version differs")

	// ErrNotFound says that there is no such row or object.
	ErrNotFound = errors.New("not found")

	// ErrUnavailable says that the service gave no answer. A write may have
	// taken effect all the same.
	ErrUnavailable = errors.New("platform service unavailable")
)

// Row is one row of the platform's table service.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"` // grows by one with each write; 0 when absent
	WriteID string `json:"write"`   // id of the write that made this version
}

// Write is one conditional write of a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`

	// Version is the one that the row must have; 0 means no such row.
	Version int64 `json:"version"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns one row. The error is ErrNotFound or ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)

	// List returns the rows whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)

	// Commit applies all writes or none. The error is ErrConflict, or
	// ErrUnavailable when it is not known whether they were applied. A
	// second Commit with the same id has no further effect.
	Commit(ctx context.Context, id string, writes ...Write) error
}

// Objects is the platform's object store.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// Member is a process on the platform's list of hosts.
type Member struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // entry or sidecar
	Zone    string `json:"zone"`
	Address string `json:"address"` // for sessions
	Manage  string `json:"manage"`  // for operators
	Leaving bool   `json:"leaving,omitempty"`
}

// Hosts is the platform's list of live and leaving hosts. It lags.
type Hosts interface {
	Members(ctx context.Context) ([]Member, error)
	Announce(ctx context.Context, m Member) error
	Withdraw(ctx context.Context, name string) error
}

// UsageIntake takes the usage of closed windows.
type UsageIntake interface {
	// ReportUsage reports a window's figures, in JSON.
	ReportUsage(ctx context.Context, window, reporter string, figures []byte) error
}

// Platform is everything that outlives the system's own processes.
type Platform interface {
	Table
	Objects
	Hosts
	UsageIntake
}
