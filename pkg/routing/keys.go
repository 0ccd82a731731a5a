package routing

import (
	"encoding/binary"

	"github.com/mulberryglade/mulberryglade/pkg/keydigest"
)

// KeyIndex finds the workspace of an API key. It keeps salted digests only. It is not safe for concurrent use with Add.
type KeyIndex struct {
	salt []byte
	// byTag groups the digests by their first bytes. The salt is secret, so that a client can neither choose the tag of
	// a key nor learn from the time of a lookup how much of a key is right.
	byTag map[uint64][]keyOwner
	count int
}

type keyOwner struct {
	digest    keydigest.Digest
	workspace *Workspace
}

// noOwners is compared with if no key has the tag, so that this takes as long as a comparison that fails.
var noOwners = make([]keyOwner, 1)

// NewKeyIndex returns an index without keys.
func NewKeyIndex() *KeyIndex {
	return &KeyIndex{salt: keydigest.NewSalt(), byTag: make(map[uint64][]keyOwner)}
}

// Add adds a key of a workspace. It returns false and changes nothing if the key is in the index.
func (x *KeyIndex) Add(key string, workspace *Workspace) bool {
	if x.Lookup(key) != nil {
		return false
	}
	digest := keydigest.Sum(x.salt, key)
	x.byTag[tagOf(&digest)] = append(x.byTag[tagOf(&digest)], keyOwner{digest, workspace})
	x.count++
	return true
}

// Lookup returns the workspace of a key, or nil. Digests are compared in constant time.
func (x *KeyIndex) Lookup(key string) *Workspace {
	digest := keydigest.Sum(x.salt, key)
	owners := x.byTag[tagOf(&digest)]
	if owners == nil {
		owners = noOwners
	}
	var found *Workspace
	for i := range owners {
		if owners[i].digest.Equal(digest[:]) {
			found = owners[i].workspace
		}
	}
	return found
}

// Len returns the number of keys.
func (x *KeyIndex) Len() int {
	return x.count
}

func tagOf(digest *keydigest.Digest) uint64 {
	return binary.LittleEndian.Uint64(digest[:])
}

// KeyCheck is the result of checking the API key of a request.
type KeyCheck int

const (
	// KeyNotUsed means that the configuration has no workspaces, or that the route is public and there is no key.
	KeyNotUsed KeyCheck = iota
	// KeyKnown means that the key belongs to a workspace.
	KeyKnown
	// KeyDropped means that the route is public, and that the key belongs to no workspace or the request has several.
	KeyDropped
	// KeyMissing means that there is no key although the route needs one.
	KeyMissing
	// KeyRepeated means that the request has several keys, so that it is unclear for which workspace it is.
	KeyRepeated
	// KeyUnknown means that the key belongs to no workspace.
	KeyUnknown
)

var keyCheckNames = [...]string{
	KeyNotUsed: "not_used", KeyKnown: "known", KeyDropped: "dropped", KeyMissing: "missing", KeyRepeated: "repeated",
	KeyUnknown: "unknown",
}

// String returns the name of the result in logs and metrics.
func (c KeyCheck) String() string {
	return keyCheckNames[c]
}

// Allowed reports whether the request may run.
func (c KeyCheck) Allowed() bool {
	return c <= KeyDropped
}

// UsesKeys reports whether requests are attributed to workspaces by API keys.
func (t *Table) UsesKeys() bool {
	return t.Config.Keys != nil
}

// WorkspaceByKey returns the workspace that owns an API key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	if t.Config.Keys == nil {
		return nil
	}
	return t.Config.Keys.Lookup(key)
}

// CheckKey decides whether a request to a route may run by its API key, and for which workspace. The key is empty if
// the request has none, repeated is set if it has several. The workspace is nil unless the result is KeyKnown.
func (t *Table) CheckKey(route *Route, key string, repeated bool) (KeyCheck, *Workspace) {
	if !t.UsesKeys() {
		return KeyNotUsed, nil
	}
	check := KeyUnknown
	switch {
	case repeated:
		check = KeyRepeated
	case key == "":
		check = KeyMissing
	default:
		if workspace := t.WorkspaceByKey(key); workspace != nil {
			return KeyKnown, workspace
		}
	}
	switch {
	case !route.Public:
		return check, nil
	case check == KeyMissing:
		return KeyNotUsed, nil
	default:
		return KeyDropped, nil
	}
}
