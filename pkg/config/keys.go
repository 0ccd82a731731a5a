package config

import (
	"encoding/base64"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/keydigest"
)

// MinKeyLength is the minimum number of characters of a bearer key. A shorter key would have too few secret characters
// beside its prefix, which is stored in clear.
const MinKeyLength = 24

// ErrKeyTooShort means that a bearer key has fewer than MinKeyLength characters.
var ErrKeyTooShort = errors.Newf("a key needs at least %d characters", MinKeyLength)

// HashKey returns the declaration of a bearer key, with a random salt. It returns ErrKeyTooShort for a short key.
func HashKey(key string) (KeyHash, error) {
	if utf8.RuneCountInString(key) < MinKeyLength {
		return KeyHash{}, ErrKeyTooShort
	}
	salt := keydigest.NewSalt()
	sum := keydigest.Sum(salt, key)
	return KeyHash{
		Prefix: keyPrefix(key),
		Salt:   base64.StdEncoding.EncodeToString(salt),
		Hash:   base64.StdEncoding.EncodeToString(sum[:]),
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
	sum := keydigest.Sum(salt, key)
	return sum.Equal(expected)
}

func keyPrefix(key string) string {
	if len(key) <= KeyPrefixLength {
		return key
	}
	return key[:KeyPrefixLength]
}
