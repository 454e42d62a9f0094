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

// Errors of Check and Valid.
var (
	ErrNoKey     = errors.New("key is missing")
	ErrBadKey    = errors.New("key is not known")
	ErrWithdrawn = errors.New("key is withdrawn")

	// ErrStaleConfig is returned if the configuration may be too old to contain
	// all withdrawals of keys.
	ErrStaleConfig = errors.New("keys can't be checked now")
)

// Authenticator checks secrets against the keys of one configuration. It is safe
// for concurrent use. Create it with New.
type Authenticator struct {
	current func() bool

	mu   sync.RWMutex
	keys map[string]radishspoke.Key // by the first indexLength digits of the hash
}

const indexLength = 16 // hex digits of a hash that index the keys

// New returns an Authenticator without keys. The function current reports
// whether the configuration at hand is recent enough to be trusted.
func New(current func() bool) *Authenticator {
	return &Authenticator{current: current, keys: map[string]radishspoke.Key{}}
}

// Configure replaces the keys. Keys whose hash has fewer than indexLength digits
// are ignored.
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

// Check returns the key that belongs to a secret. The error is ErrNoKey,
// ErrBadKey, ErrWithdrawn or ErrStaleConfig.
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

// Valid returns nil if a key that was checked before may still start requests. The
// error is ErrWithdrawn or ErrStaleConfig.
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
	if !a.current() {
		return ErrStaleConfig
	}
	return nil
}

// Hash returns the hexadecimal SHA-256 hash under which a secret is stored.
func Hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

const secretBytes = 20

// NewSecret returns a random secret that starts with "rk-".
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // never fails
	return "rk-" + strings.ToLower(base32.StdEncoding.EncodeToString(b))
}
