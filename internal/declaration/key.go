package declaration

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// Key authorizes its holder to act for a workspace. Only the hash of its secret is
// stored.
type Key struct {
	Workspace string `json:"workspace"`
	Hash      string `json:"hash"`                // SHA-256 of the secret in hex
	ExpiresMs int64  `json:"expiresMs,omitempty"` // Unix time in milliseconds; 0 for never
	Withdrawn bool   `json:"withdrawn,omitempty"`
	Note      string `json:"note,omitempty"`
}

const (
	keyPrefix   = "tbk"
	keyIDBytes  = 8
	secretBytes = 24
)

// Defaults does nothing, as no field of a key has a default.
func (ke *Key) Defaults() {}

// Validate checks the key whose ID is name.
func (ke Key) Validate(name string, se *Set) error {
	path := KindKey + "/" + name
	if _, ok := se.Workspaces[ke.Workspace]; !ok {
		return invalid(path, "workspace %q does not exist", ke.Workspace)
	}
	if b, err := hex.DecodeString(ke.Hash); err != nil || len(b) != sha256.Size {
		return invalid(path, "hash is not a SHA-256 in hex")
	}

	return nil
}

// Matches reports whether secret is the key's secret. It compares in constant time.
func (ke Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(ke.Hash)) == 1
}

// HashSecret returns the hash of a secret as stored in Key.Hash.
func HashSecret(secret string) string {
	s := sha256.Sum256([]byte(secret))

	return hex.EncodeToString(s[:])
}

// NewKey generates a random key and returns its ID, its secret and the token that
// callers send.
func NewKey() (id, secret, token string, err error) {
	b := make([]byte, keyIDBytes+secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", "", "", err
	}
	id, secret = hex.EncodeToString(b[:keyIDBytes]), hex.EncodeToString(b[keyIDBytes:])

	return id, secret, keyPrefix + "_" + id + "_" + secret, nil
}

// ParseToken returns the ID and the secret of the key in a token.
func ParseToken(token string) (id, secret string, ok bool) {
	parts := strings.Split(token, "_")
	if len(parts) != 3 || parts[0] != keyPrefix || parts[1] == "" || parts[2] == "" {
		return "", "", false
	}

	return parts[1], parts[2], true
}
