package claims

import (
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// issuedPrefix is the prefix of every issued key. A key chosen by a caller that has this prefix is treated as an
	// issued key.
	issuedPrefix = "mgk1."
	// secretBytes is the length of the random secret that makes a key unguessable.
	secretBytes = 16
	// maxIssuedKeyBytes is the length above which a key is rejected without being parsed.
	maxIssuedKeyBytes = 512
)

// IssuedKey is a decoded issued key. Its text form, with both ids and the secret in unpadded base64url, is
//
//	mgk1.<instance id>.<incarnation>.<issue time in ms, base 36>.<secret>
type IssuedKey struct {
	Instance    string
	Incarnation string
	IssuedAt    time.Time
	Secret      string
}

// IsIssuedKey reports whether the key has the prefix of issued keys. It may still be malformed.
func IsIssuedKey(key string) bool {
	return strings.HasPrefix(key, issuedPrefix)
}

// String returns the text form of the key.
func (k IssuedKey) String() string {
	encode := base64.RawURLEncoding.EncodeToString
	parts := []string{
		encode([]byte(k.Instance)),
		encode([]byte(k.Incarnation)),
		strconv.FormatInt(k.IssuedAt.UnixMilli(), 36),
		k.Secret,
	}
	return issuedPrefix + strings.Join(parts, ".")
}

// ParseIssuedKey parses the text form of a key. The error wraps ErrOutcomeUnknown, because nothing is known about a
// malformed key.
func ParseIssuedKey(text string) (IssuedKey, error) {
	malformed := errors.Wrap(ErrOutcomeUnknown, "malformed issued key")
	if len(text) > maxIssuedKeyBytes || !IsIssuedKey(text) {
		return IssuedKey{}, malformed
	}
	parts := strings.Split(strings.TrimPrefix(text, issuedPrefix), ".")
	if len(parts) != 4 {
		return IssuedKey{}, malformed
	}
	instance, errInstance := base64.RawURLEncoding.DecodeString(parts[0])
	incarnation, errIncarnation := base64.RawURLEncoding.DecodeString(parts[1])
	issuedAtMs, errTime := strconv.ParseInt(parts[2], 36, 64)
	secret, errSecret := base64.RawURLEncoding.DecodeString(parts[3])
	if errors.Join(errInstance, errIncarnation, errTime, errSecret) != nil || len(secret) != secretBytes {
		return IssuedKey{}, malformed
	}
	key := IssuedKey{
		Instance:    string(instance),
		Incarnation: string(incarnation),
		IssuedAt:    time.UnixMilli(issuedAtMs),
		Secret:      parts[3],
	}
	// Each key has exactly one text form. Any other encoding of the same content is rejected.
	if key.String() != text {
		return IssuedKey{}, malformed
	}
	return key, nil
}

func newSecret() string {
	secret := make([]byte, secretBytes)
	// rand.Read never returns an error: it terminates the process if no random numbers are available.
	_, _ = rand.Read(secret)
	return base64.RawURLEncoding.EncodeToString(secret)
}
