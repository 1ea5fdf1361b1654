package settings

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"
)

// minSecretBytes is the shortest secret that is accepted.
const minSecretBytes = 16

// Secret is a token from a file. It prints as a placeholder, so that it cannot
// reach a log by accident.
type Secret struct{ value string }

// NewSecret returns a secret of the given value.
func NewSecret(value string) Secret { return Secret{value} }

// LoadSecret reads a secret from a file; white space around it is dropped.
func LoadSecret(path string) (Secret, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Secret{}, fmt.Errorf("secret: %w", err)
	}
	value := string(bytes.TrimSpace(data))
	if len(value) < minSecretBytes {
		return Secret{}, fmt.Errorf("secret: %s holds %d bytes, expected at least %d", path, len(value), minSecretBytes)
	}
	return Secret{value}, nil
}

// Reveal returns the secret itself, for the one place that sends it.
func (s Secret) Reveal() string { return s.value }

// Equal reports in constant time whether a presented token is the secret. The
// empty secret equals nothing.
func (s Secret) Equal(presented string) bool {
	own, other := sha256.Sum256([]byte(s.value)), sha256.Sum256([]byte(presented))
	return s.value != "" && subtle.ConstantTimeCompare(own[:], other[:]) == 1
}

// String returns a placeholder.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "[secret]" }

// MarshalLog returns a placeholder for logs.
func (Secret) MarshalLog() any { return "[secret]" }

// MarshalText returns a placeholder for encoders.
func (Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }
