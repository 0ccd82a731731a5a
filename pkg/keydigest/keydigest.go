// Package keydigest computes salted digests of keys, so that clear keys need not be kept.
package keydigest

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
)

// SaltBytes is the length of the salts that NewSalt returns.
const SaltBytes = 16

// Digest is the salted digest of a key.
type Digest [sha256.Size]byte

// NewSalt returns a random salt.
func NewSalt() []byte {
	salt := make([]byte, SaltBytes)
	_, _ = rand.Read(salt) // crypto/rand.Read never returns an error.
	return salt
}

// Sum returns the digest of a key.
func Sum(salt []byte, key string) Digest {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(key))
	return Digest(h.Sum(nil))
}

// Equal reports whether d has the given bytes. The time that it takes does not depend on where they differ.
func (d *Digest) Equal(other []byte) bool {
	return subtle.ConstantTimeCompare(d[:], other) == 1
}
