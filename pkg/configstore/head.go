// Package configstore keeps the declarations in the key-value store. Records are grouped by kind and hash bucket into
// immutable bundles, each stored under the digest of its content; one small head manifest names the bundles in effect.
// A change writes the bundles that it needs and then replaces the head by compare-and-swap, so it takes effect as a
// whole or not at all.
package configstore

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

const (
	// formatVersion is the version of the head and bundle formats.
	formatVersion = 1
	// maxChanges is the number of recent changes whose ids the head lists; about half an hour of changes at 6,000 a day.
	maxChanges = 128
	// keptHeads is the number of heads after which a bundle that is no longer in use is deleted. Readers that hold an
	// older head than that read the head again.
	keptHeads = 8
	// maxDeletes bounds the deletes of one transaction, since stores of this kind limit its operations (128 in etcd).
	maxDeletes = 64
)

var (
	// ErrNoHead means that nothing was ever applied.
	ErrNoHead = errors.New("the store has no configuration")
	// ErrFormat means that a head or bundle was damaged or written in a format of a newer build.
	ErrFormat = errors.New("unreadable configuration format")
)

// Head is the manifest of a configuration revision.
type Head struct {
	FormatVersion int `json:"formatVersion"`
	// Revision grows with every change. It is above the store's revision at the time the change was prepared, so that it
	// keeps growing when the head was deleted and written anew.
	Revision      int64 `json:"revision"`
	CommittedAtMs int64 `json:"committedAtMs"`
	// ChangeCount is the number of changes so far.
	ChangeCount int64 `json:"changeCount"`
	// Buckets is the number of hash buckets of each kind.
	Buckets map[config.Kind]int `json:"buckets"`
	Bundles []BundleRef         `json:"bundles"`
	// Changes are the latest changes, oldest first.
	Changes []AppliedChange `json:"changes"`
	// Retired are bundles that are no longer in use and not deleted yet.
	Retired []RetiredBundle `json:"retired,omitempty"`
}

// BundleRef names a bundle.
type BundleRef struct {
	Kind   config.Kind `json:"kind"`
	Bucket int         `json:"bucket"`
	Digest string      `json:"digest"`
}

// AppliedChange identifies a change in the head.
type AppliedChange struct {
	ID string `json:"id"`
	// Hash tells a repeated change from another one with the same id.
	Hash     string `json:"hash"`
	Revision int64  `json:"revision"`
}

// RetiredBundle is a bundle that the change with this count took out of use.
type RetiredBundle struct {
	Digest      string `json:"digest"`
	ChangeCount int64  `json:"changeCount"`
}

// CommittedAt returns when the change was accepted, by the clock of the operator's machine.
func (h *Head) CommittedAt() time.Time {
	return time.UnixMilli(h.CommittedAtMs)
}

// ParseHead reads a stored head. Errors: ErrFormat.
func ParseHead(data []byte) (*Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return nil, errors.Wrapf(ErrFormat, "head: %v", err)
	}
	if h.FormatVersion != formatVersion {
		return nil, errors.Wrapf(ErrFormat, "head has format version %d, this build reads %d", h.FormatVersion, formatVersion)
	}
	if h.Revision <= 0 {
		return nil, errors.Wrapf(ErrFormat, "head has revision %d", h.Revision)
	}
	return &h, nil
}

func (h *Head) encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Wrap(err, "encode head")
}

func (h *Head) change(id string) (AppliedChange, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return AppliedChange{}, false
}

// changesAfter returns the ids of listed changes above a revision.
func (h *Head) changesAfter(revision int64) []string {
	var ids []string
	for _, c := range h.Changes {
		if c.Revision > revision {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

func (h *Head) digests() map[string]bool {
	digests := make(map[string]bool, len(h.Bundles))
	for _, ref := range h.Bundles {
		digests[ref.Digest] = true
	}
	return digests
}

// successor returns the head that follows h when bundles come into effect, and the digests to delete with it.
func (h *Head) successor(bundles []BundleRef, buckets map[config.Kind]int) (*Head, []string) {
	next := &Head{FormatVersion: formatVersion, ChangeCount: h.ChangeCount + 1, Buckets: buckets, Bundles: bundles}
	used := next.digests()
	var deletes []string
	for _, old := range h.Retired {
		switch {
		case used[old.Digest]:
		case next.ChangeCount-old.ChangeCount >= keptHeads && len(deletes) < maxDeletes:
			deletes = append(deletes, old.Digest)
		default:
			next.Retired = append(next.Retired, old)
		}
	}
	for _, ref := range h.Bundles {
		if !used[ref.Digest] {
			next.Retired = append(next.Retired, RetiredBundle{Digest: ref.Digest, ChangeCount: next.ChangeCount})
		}
	}
	return next, deletes
}

func (h *Head) addChange(previous []AppliedChange, c AppliedChange) {
	h.Changes = append(append([]AppliedChange{}, previous...), c)
	if excess := len(h.Changes) - maxChanges; excess > 0 {
		h.Changes = h.Changes[excess:]
	}
}
