package settings

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"
)

// minSecretBytes is the minimum length of a secret read from a file.
const minSecretBytes = 16

// Secret is an authentication token. It is formatted and encoded as a
// placeholder, so that it is not logged by accident.
type Secret struct{ value string }

// NewSecret returns a secret with the given value.
func NewSecret(value string) Secret { return Secret{value} }

// LoadSecret reads a secret from a file and trims surrounding white space.
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

// Reveal returns the plain-text secret. Use it only to send the secret.
func (s Secret) Reveal() string { return s.value }

// Equal reports whether the presented token matches the secret, using a
// constant-time comparison. An empty secret matches no token.
func (s Secret) Equal(presented string) bool {
	secretDigest, presentedDigest := sha256.Sum256([]byte(s.value)), sha256.Sum256([]byte(presented))
	return s.value != "" && subtle.ConstantTimeCompare(secretDigest[:], presentedDigest[:]) == 1
}

// String returns a placeholder.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "[secret]" }

// MarshalLog returns a placeholder for logs.
func (Secret) MarshalLog() any { return "[secret]" }

// MarshalText returns a placeholder for encoders.
func (Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }
