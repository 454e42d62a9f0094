package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"radishspoke"
)

// Errors of Check.
var (
	ErrNoKey     = errors.New("key is missing")
	ErrBadKey    = errors.New("key is not known")
	ErrWithdrawn = errors.New("key is withdrawn")

	// ErrStanding says that this process can't know whether keys have been
	// withdrawn.
	ErrStanding = errors.New("keys can't be checked now")
)

// Authenticator knows the keys of one configuration. Make it with New.
type Authenticator struct {
	standing func() bool

	mu   sync.RWMutex
	keys map[string]radishspoke.Key // by the start of the hash
}

const indexLength = 16 // hex digits of a hash that index the keys

// New returns an Authenticator without keys. Standing tells whether the
// configuration at hand may be trusted.
func New(standing func() bool) *Authenticator {
	return &Authenticator{standing: standing, keys: map[string]radishspoke.Key{}}
}

// Configure replaces the keys.
func (a *Authenticator) Configure(keys []radishspoke.Key) {
	m := make(map[string]radishspoke.Key, len(keys))
	for _, k := range keys {
		if len(k.Hash) >= indexLength {
			m[k.Hash[:indexLength]] = k
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys = m
}

// Check returns the key of a secret.
func (a *Authenticator) Check(secret string) (radishspoke.Key, error) {
	if secret == "" {
		return radishspoke.Key{}, ErrNoKey
	}
	h := Hash(secret)
	a.mu.RLock()
	k, ok := a.keys[h[:indexLength]]
	a.mu.RUnlock()
	if !ok || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(h)) != 1 {
		return radishspoke.Key{}, ErrBadKey
	}
	return k, a.valid(k)
}

// Valid returns nil if a key that was checked before may still start work.
func (a *Authenticator) Valid(k radishspoke.Key) error {
	a.mu.RLock()
	now, ok := a.keys[k.Hash[:indexLength]]
	a.mu.RUnlock()
	if !ok {
		return ErrWithdrawn
	}
	return a.valid(now)
}

func (a *Authenticator) valid(k radishspoke.Key) error {
	if k.Withdrawn {
		return ErrWithdrawn
	}
	if !a.standing() {
		return ErrStanding
	}
	return nil
}

// Hash returns the form in which a secret is kept.
func Hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

const secretBytes = 20

// NewSecret returns a random secret, which starts with "rk-".
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // never fails
	return "rk-" + strings.ToLower(base32.StdEncoding.EncodeToString(b))
}
