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
	// issuedPrefix begins every issued key; keys chosen by callers that begin with it are treated as issued keys.
	issuedPrefix = "mgk1."
	// secretBytes makes a key unguessable.
	secretBytes = 16
	// maxIssuedKeyBytes bounds what is parsed.
	maxIssuedKeyBytes = 512
)

// IssuedKey is the content of a key that an instance issued:
// mgk1.<instance id>.<incarnation>.<issue time in ms, base 36>.<secret>, the ids and the secret in unpadded base64url.
type IssuedKey struct {
	Instance    string
	Incarnation string
	IssuedAt    time.Time
	Secret      string
}

// IsIssuedKey reports whether the key has the form of issued keys; it may still be malformed.
func IsIssuedKey(key string) bool {
	return strings.HasPrefix(key, issuedPrefix)
}

// String returns the text form.
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

// ParseIssuedKey reads the text form. The error wraps ErrOutcomeUnknown, because nothing is known about such a key.
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
	// One key has one text form; another spelling of the same bytes is not accepted.
	if key.String() != text {
		return IssuedKey{}, malformed
	}
	return key, nil
}

func newSecret() string {
	secret := make([]byte, secretBytes)
	// The standard library ends the process if the system has no random numbers.
	_, _ = rand.Read(secret)
	return base64.RawURLEncoding.EncodeToString(secret)
}
