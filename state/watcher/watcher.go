package watcher

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/state/parser"
)

// Keys of the configuration's rows, and prefix of the names of its documents in
// the object store.
const (
	CurrentKey    = "config/current"
	HistoryPrefix = "config/version/"
	ObjectPrefix  = "config-"
)

// Pointer is the value of a configuration row. It refers to a document by its
// hash. The version of the row CurrentKey is the version of the configuration.
type Pointer struct {
	Hash   string    `json:"hash"`
	Author string    `json:"author"`
	Note   string    `json:"note"`
	Time   time.Time `json:"time"`
}

// ErrHash reports that a document does not have the expected hash.
var ErrHash = errors.New("document does not have the expected hash")

// Watcher holds the configuration in force. Use New to create one.
type Watcher struct {
	platform radishspoke.Platform
	clock    radishspoke.Clock
	log      *slog.Logger

	current atomic.Pointer[snapshot]

	mu          sync.Mutex
	subscribers []func(*radishspoke.Configuration)
	confirmedAt time.Duration // when the version in force was last known to be current
	confirmed   bool          // confirmedAt is set
}

// snapshot is a configuration with its compressed document.
type snapshot struct {
	config     radishspoke.Configuration
	compressed []byte
}

// New returns a Watcher without a configuration.
func New(p radishspoke.Platform, c radishspoke.Clock, log *slog.Logger) *Watcher {
	return &Watcher{platform: p, clock: c, log: log}
}

// Subscribe registers f to be called with each new configuration, and calls it
// with the current one if there is one. Calls do not overlap. They are made with a
// lock held: f may call Current, Version and Compressed, but no other method of w.
func (w *Watcher) Subscribe(f func(*radishspoke.Configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, f)
	if s := w.current.Load(); s != nil {
		f(&s.config)
	}
}

// Current returns the configuration in force, or nil if there is none.
func (w *Watcher) Current() *radishspoke.Configuration {
	if s := w.current.Load(); s != nil {
		return &s.config
	}
	return nil
}

// Version returns the version in force, or 0 if there is none.
func (w *Watcher) Version() int64 {
	if s := w.current.Load(); s != nil {
		return s.config.Version
	}
	return 0
}

// Compressed returns the document in force in the compressed form that
// AcceptCompressed takes, or version 0 if there is none.
func (w *Watcher) Compressed() (version int64, hash string, compressed []byte) {
	s := w.current.Load()
	if s == nil {
		return 0, "", nil
	}
	return s.config.Version, s.config.Hash, s.compressed
}

// Age returns the time since the version in force was last known to be current, or
// the greatest time.Duration if it never was.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.confirmed {
		return time.Duration(1<<63 - 1)
	}
	return w.clock.Now() - w.confirmedAt
}

// ConfirmCurrent records that the given version was current at the time at. It
// has no effect if that version is not in force.
func (w *Watcher) ConfirmCurrent(version int64, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version == w.Version() && (!w.confirmed || at > w.confirmedAt) {
		w.confirmedAt, w.confirmed = at, true
	}
}

// Poll reads the current version from the platform, and accepts its document if it
// is newer than the one in force.
func (w *Watcher) Poll(ctx context.Context) error {
	at := w.clock.Now()
	r, err := w.platform.Read(ctx, CurrentKey)
	if err != nil {
		return fmt.Errorf("poll configuration: %w", err)
	}
	if r.Version > w.Version() {
		var p Pointer
		if err := json.Unmarshal(r.Value, &p); err != nil {
			return fmt.Errorf("decode configuration row: %w", err)
		}
		data, err := w.platform.Get(ctx, ObjectPrefix+p.Hash)
		if err != nil {
			return fmt.Errorf("poll configuration: %w", err)
		}
		if err := w.Accept(r.Version, p.Hash, data); err != nil {
			return err
		}
	}
	w.ConfirmCurrent(r.Version, at)
	return nil
}

// Accept checks a document, puts it in force and calls the subscribers. If its
// version is not greater than the one in force, Accept does nothing and returns nil.
func (w *Watcher) Accept(version int64, hash string, data []byte) error {
	if version <= w.Version() {
		return nil
	}
	c, err := Decode(version, hash, data)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if version <= w.Version() {
		return nil
	}
	compressed, err := compress(data)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	w.current.Store(&snapshot{config: *c, compressed: compressed})
	w.log.Info("configuration in force", "version", version, "hash", hash, "author", c.Document.Author)
	for _, f := range w.subscribers {
		f(c)
	}
	return nil
}

// Decode checks the hash and the inventory of a document, and returns its
// configuration. Drained targets are marked as draining. The error is ErrHash if
// the document does not have the given hash.
func Decode(version int64, hash string, data []byte) (*radishspoke.Configuration, error) {
	if Hash(data) != hash {
		return nil, ErrHash
	}
	c := &radishspoke.Configuration{Version: version, Hash: hash}
	if err := json.Unmarshal(data, &c.Document); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	inv, err := parser.ParseInventory("inventory", []byte(c.Document.Inventory))
	if err != nil {
		return nil, fmt.Errorf("check inventory: %w", err)
	}
	for i := range inv.Targets {
		for _, name := range c.Document.Drained {
			inv.Targets[i].Draining = inv.Targets[i].Draining || inv.Targets[i].Name == name
		}
	}
	c.Inventory = inv
	return c, nil
}

// Hash returns the SHA-256 hash of a document in hexadecimal. The document is
// stored under ObjectPrefix followed by this hash.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// AcceptCompressed is like Accept, for a document in the compressed form that
// Compressed returns.
func (w *Watcher) AcceptCompressed(version int64, hash string, compressed []byte) error {
	if version <= w.Version() {
		return nil
	}
	data, err := decompress(compressed)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	return w.Accept(version, hash, data)
}

// compress compresses a document for transfer between processes.
func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	zw := gzip.NewWriter(&b)
	if _, err := zw.Write(data); err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	return b.Bytes(), nil
}

const maxDocument = 16 << 20 // maximum size of a decompressed document in bytes

// decompress is the inverse of compress. It returns an error if the document is
// longer than maxDocument.
func decompress(compressed []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(zr, maxDocument+1))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	if len(data) > maxDocument {
		return nil, errors.Errorf("document is longer than %d bytes", maxDocument)
	}
	return data, nil
}
