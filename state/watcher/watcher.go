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

// Keys of the configuration's rows.
const (
	CurrentKey    = "config/current"
	HistoryPrefix = "config/version/"
	ObjectPrefix  = "config-"
)

// Pointer is the content of a configuration row. The row's version is the
// configuration's.
type Pointer struct {
	Hash   string    `json:"hash"`
	Author string    `json:"author"`
	Note   string    `json:"note"`
	Time   time.Time `json:"time"`
}

// ErrHash says that a document does not have the hash it was announced with.
var ErrHash = errors.New("document's hash differs")

// Watcher holds the configuration. Make it with New.
type Watcher struct {
	platform radishspoke.Platform
	clock    radishspoke.Clock
	log      *slog.Logger

	current atomic.Pointer[held]

	mu          sync.Mutex
	subscribers []func(*radishspoke.Configuration)
	proved      time.Duration // when the version in force was last known to be current
	everProved  bool
}

type held struct {
	config radishspoke.Configuration
	packed []byte
}

// New returns a Watcher without a configuration.
func New(p radishspoke.Platform, c radishspoke.Clock, log *slog.Logger) *Watcher {
	return &Watcher{platform: p, clock: c, log: log}
}

// Subscribe has f called with each new configuration, and with the present
// one if there is one. Calls do not overlap.
func (w *Watcher) Subscribe(f func(*radishspoke.Configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, f)
	if h := w.current.Load(); h != nil {
		f(&h.config)
	}
}

// Current returns the configuration in force, or nil.
func (w *Watcher) Current() *radishspoke.Configuration {
	if h := w.current.Load(); h != nil {
		return &h.config
	}
	return nil
}

// Version returns the version in force, 0 if there is none.
func (w *Watcher) Version() int64 {
	if h := w.current.Load(); h != nil {
		return h.config.Version
	}
	return 0
}

// Packed returns the configuration in force in the form that Unpack takes.
func (w *Watcher) Packed() (version int64, hash string, packed []byte) {
	h := w.current.Load()
	if h == nil {
		return 0, "", nil
	}
	return h.config.Version, h.config.Hash, h.packed
}

// Age returns how long ago the version in force was known to be current.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.everProved {
		return time.Duration(1<<63 - 1)
	}
	return w.clock.Now() - w.proved
}

// Prove notes that the given version was current at the moment at.
func (w *Watcher) Prove(version int64, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version == w.Version() && (!w.everProved || at > w.proved) {
		w.proved, w.everProved = at, true
	}
}

// Poll reads the platform's version and takes it if it is newer.
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
	w.Prove(r.Version, at)
	return nil
}

// Accept takes a document if it is newer. It is no error if it is not.
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
	packed, err := pack(data)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	w.current.Store(&held{config: *c, packed: packed})
	w.log.Info("configuration in force", "version", version, "hash", hash, "author", c.Document.Author)
	for _, f := range w.subscribers {
		f(c)
	}
	return nil
}

// Decode checks a document and makes a configuration of it.
func Decode(version int64, hash string, data []byte) (*radishspoke.Configuration, error) {
	if Hash(data) != hash {
		return nil, ErrHash
	}
	c := &radishspoke.Configuration{Version: version, Hash: hash}
	if err := json.Unmarshal(data, &c.Document); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	v, err := parser.Inventory("inventory", []byte(c.Document.Inventory))
	if err != nil {
		return nil, fmt.Errorf("check inventory: %w", err)
	}
	for i := range v.Targets {
		for _, name := range c.Document.Drained {
			v.Targets[i].Draining = v.Targets[i].Draining || v.Targets[i].Name == name
		}
	}
	c.Inventory = v
	return c, nil
}

// Hash returns the name by which a document is stored.
func Hash(data []byte) string {
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:])
}

// AcceptPacked is Accept for a document as Packed returns it.
func (w *Watcher) AcceptPacked(version int64, hash string, packed []byte) error {
	if version <= w.Version() {
		return nil
	}
	data, err := unpack(packed)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", version, err)
	}
	return w.Accept(version, hash, data)
}

// pack compresses a document for the way between processes.
func pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(data); err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	return b.Bytes(), nil
}

const maxDocument = 16 << 20 // bytes

func unpack(packed []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(z, maxDocument+1))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	if len(data) > maxDocument {
		return nil, errors.Errorf("document is longer than %d bytes", maxDocument)
	}
	return data, nil
}
