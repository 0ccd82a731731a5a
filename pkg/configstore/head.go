// Package configstore stores the declarations in the key-value store. Records are grouped by kind and hash bucket into
// immutable bundles. Each bundle is stored under the digest of its content, and one small manifest, the head, lists the
// bundles in effect. A change writes its new bundles and then replaces the head by compare-and-swap, so it takes effect
// as a whole or not at all.
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
	// maxListedChanges is the number of recent changes that the head lists: about half an hour at 6,000 changes a day.
	maxListedChanges = 128
	// retainedHeads is the number of later heads for which a retired bundle is kept. A reader with an older head may miss
	// bundles and must then read the head again.
	retainedHeads = 8
	// maxCommitDeletes bounds the deletes of one transaction, because stores limit the operations of a transaction, etcd
	// for example to 128.
	maxCommitDeletes = 64
)

var (
	// ErrNoHead means that the store has no head, for example because no change was applied yet.
	ErrNoHead = errors.New("the store has no configuration")
	// ErrFormat means that a head or bundle is damaged or has the format of a newer build.
	ErrFormat = errors.New("unreadable configuration format")
)

// Head is the manifest of a configuration revision.
type Head struct {
	FormatVersion int `json:"formatVersion"`
	// Revision increases with every change. It is above the store's revision at which the change was prepared, so it also
	// increases when the head was deleted and created again.
	Revision      int64 `json:"revision"`
	CommittedAtMs int64 `json:"committedAtMs"`
	// ChangeCount is the number of changes applied so far.
	ChangeCount int64 `json:"changeCount"`
	// Buckets maps each kind to its number of hash buckets.
	Buckets map[config.Kind]int `json:"buckets"`
	Bundles []BundleRef         `json:"bundles"`
	// Changes lists the latest changes, oldest first.
	Changes []AppliedChange `json:"changes"`
	// Retired lists bundles that are no longer in use and not deleted yet.
	Retired []RetiredBundle `json:"retired,omitempty"`
}

// BundleRef refers to a bundle by its digest.
type BundleRef struct {
	Kind   config.Kind `json:"kind"`
	Bucket int         `json:"bucket"`
	Digest string      `json:"digest"`
}

// AppliedChange is the entry of a change in the head.
type AppliedChange struct {
	ID string `json:"id"`
	// Hash distinguishes a repeated change from a different one with the same id.
	Hash     string `json:"hash"`
	Revision int64  `json:"revision"`
}

// RetiredBundle is a bundle that the configuration no longer uses. ChangeCount is that of the head that first omitted
// it.
type RetiredBundle struct {
	Digest      string `json:"digest"`
	ChangeCount int64  `json:"changeCount"`
}

// CommittedAt returns when the change was applied, by the writer's clock.
func (h *Head) CommittedAt() time.Time {
	return time.UnixMilli(h.CommittedAtMs)
}

// ParseHead decodes a stored head. Errors: ErrFormat.
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

func (h *Head) findChange(id string) (AppliedChange, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return AppliedChange{}, false
}

// changesAfter returns the ids of the listed changes whose revision is above the given one.
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

// successor returns the head that follows h with the given bundles in effect, and the digests of the retired bundles to
// delete in the same transaction. The caller sets the fields of the change.
func (h *Head) successor(bundles []BundleRef, buckets map[config.Kind]int) (*Head, []string) {
	next := &Head{FormatVersion: formatVersion, ChangeCount: h.ChangeCount + 1, Buckets: buckets, Bundles: bundles}
	used := next.digests()
	var deletes []string
	for _, old := range h.Retired {
		switch {
		case used[old.Digest]:
		case next.ChangeCount-old.ChangeCount >= retainedHeads && len(deletes) < maxCommitDeletes:
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

// addChange appends a change to the previous ones and drops the oldest ones beyond maxListedChanges.
func (h *Head) addChange(previous []AppliedChange, c AppliedChange) {
	h.Changes = append(append([]AppliedChange{}, previous...), c)
	if excess := len(h.Changes) - maxListedChanges; excess > 0 {
		h.Changes = h.Changes[excess:]
	}
}
