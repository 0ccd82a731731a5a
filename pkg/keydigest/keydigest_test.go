package keydigest

import (
	"crypto/sha256"
	"testing"
)

// Guards against digests that do not match those in stored declarations, and against digests that ignore the salt, so
// that equal keys could be recognized by equal digests.
func TestSum(t *testing.T) {
	salt := []byte("0123456789abcdef")
	sum, want := Sum(salt, "key"), sha256.Sum256([]byte("0123456789abcdefkey"))
	if !sum.Equal(want[:]) {
		t.Error("the digest is not SHA-256 of salt and key")
	}
	for name, other := range map[string]Digest{
		"other key": Sum(salt, "kez"), "longer key": Sum(salt, "key "), "other salt": Sum(NewSalt(), "key"),
	} {
		if sum.Equal(other[:]) {
			t.Errorf("%s: same digest", name)
		}
	}
	if sum.Equal(nil) || sum.Equal(want[:31]) {
		t.Error("a part of the digest is accepted")
	}
	if a, b := NewSalt(), NewSalt(); len(a) != SaltBytes || string(a) == string(b) {
		t.Error("salts are short or repeat")
	}
}
