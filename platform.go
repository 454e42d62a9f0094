package radishspoke

import (
	"context"

	"github.com/pkg/errors"
)

// Errors returned by the services of the platform.
var (
	// ErrConflict is returned if a row has another version than a conditional
	// write expects. The write has no effect.
	ErrConflict = errors.New("row version differs")

	// ErrNotFound is returned if a row or an object does not exist.
	ErrNotFound = errors.New("not found")

	// ErrUnavailable is returned if the service did not respond. A write may
	// still have taken effect.
	ErrUnavailable = errors.New("platform service unavailable")

	// ErrUnanswered is returned together with ErrUnavailable if a call was sent and has no
	// response. It may still take effect.
	ErrUnanswered = errors.New("call has no answer")
)

// Row is one row in the table service of the platform.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`

	// Version is incremented by each write. That of a row that does not exist is
	// StorePosition.Absent, which is 0 in the first era of the store. Versions that were
	// read in different eras are never equal.
	Version int64  `json:"version"`
	WriteID string `json:"write"` // ID of the write that created this version

	// Outdated is set if the row was written in an earlier era of the store than that in
	// which it was read, or does not exist in an era after the first. What was written
	// later in the earlier era may be lost: the row does not prove that nothing was.
	Outdated bool `json:"-"`
}

// Write is one conditional write in a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`

	// Version is the version that the row must have, as it was read. A version of 0, or
	// StorePosition.Absent, means that the row must not exist. The write is a conflict
	// if the store is in another era than when the version was read.
	Version int64 `json:"version"`
}

// Table is the transactional table service of the platform.
type Table interface {
	// Read returns the row with the given key. The error is ErrNotFound or
	// ErrUnavailable. With ErrNotFound, the row has the version that a write of it
	// expects.
	Read(ctx context.Context, key string) (Row, error)

	// List returns the rows whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)

	// Commit applies all writes or none. The error is ErrConflict, or
	// ErrUnavailable if it is unknown whether the writes were applied. Another
	// Commit with the same id has no further effect.
	Commit(ctx context.Context, id string, writes ...Write) error

	// History returns what is known of the history of the store.
	History() History
}

// Objects is the object store of the platform.
type Objects interface {
	// Get returns the content of the object with the given name. The error wraps
	// ErrNotFound if there is no such object, and ErrUnavailable if the service did
	// not respond.
	Get(ctx context.Context, name string) ([]byte, error)

	// Put stores data as the content of the object with the given name.
	Put(ctx context.Context, name string, data []byte) error
}

// Member is one process in the platform's list of processes.
type Member struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // entry or sidecar
	Zone    string `json:"zone"`
	Address string `json:"address"`           // for sessions between processes, IP:port
	Manage  string `json:"manage"`            // for operators, IP:port
	Leaving bool   `json:"leaving,omitempty"` // shutting down
}

// MemberList is the platform's list of processes that are live or shutting
// down. The list lags behind the actual state.
type MemberList interface {
	Members(ctx context.Context) ([]Member, error)
	Announce(ctx context.Context, m Member) error
	Withdraw(ctx context.Context, name string) error
}

// UsageReceiver accepts the usage of closed billing windows.
type UsageReceiver interface {
	// ReportUsage reports the usage in one window, encoded as JSON. The argument
	// reporter is the name of the process that reports it.
	ReportUsage(ctx context.Context, window, reporter string, usage []byte) error
}

// Platform combines the services that outlive the processes of the system.
type Platform interface {
	Table
	Objects
	MemberList
	UsageReceiver
}
