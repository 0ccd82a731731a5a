package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	saltBytes = 16
	// MinKeyLength is the minimum number of characters of a bearer key. A shorter key would have too few secret characters
	// beside its prefix, which is stored in clear.
	MinKeyLength = 24
)

// ErrKeyTooShort means that a bearer key has fewer than MinKeyLength characters.
var ErrKeyTooShort = errors.Newf("a key needs at least %d characters", MinKeyLength)

// HashKey returns the declaration of a bearer key, with a random salt. It returns ErrKeyTooShort for a short key.
func HashKey(key string) (KeyHash, error) {
	if utf8.RuneCountInString(key) < MinKeyLength {
		return KeyHash{}, ErrKeyTooShort
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // crypto/rand.Read never returns an error.
	sum := saltedSum(salt, key)
	return KeyHash{
		Prefix: keyPrefix(key),
		Salt:   base64.StdEncoding.EncodeToString(salt),
		Hash:   base64.StdEncoding.EncodeToString(sum),
	}, nil
}

// MemberByKey returns the member that owns the bearer key, or nil. Hashes are compared in constant time.
func (s *Snapshot) MemberByKey(key string) *Member {
	for _, owner := range s.keysByPrefix[keyPrefix(key)] {
		if owner.key.Matches(key) {
			return owner.member
		}
	}
	return nil
}

// Matches reports whether k is the hash of the key. The hashes are compared in constant time.
func (k KeyHash) Matches(key string) bool {
	salt, err := base64.StdEncoding.DecodeString(k.Salt)
	if err != nil {
		return false
	}
	expected, err := base64.StdEncoding.DecodeString(k.Hash)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(saltedSum(salt, key), expected) == 1
}

func saltedSum(salt []byte, key string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(key))
	return h.Sum(nil)
}

func keyPrefix(key string) string {
	if len(key) <= KeyPrefixLength {
		return key
	}
	return key[:KeyPrefixLength]
}
