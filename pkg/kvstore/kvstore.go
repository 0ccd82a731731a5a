// Package kvstore defines the interface of the platform's key-value service: conditional writes, leases and watches.
// Adapters implement it over a wire protocol. No other package depends on that protocol.
package kvstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

var (
	// ErrUnavailable means that the service could not be reached or refused the call; nothing took effect.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect. The caller must read the keys to find out.
	ErrOutcomeUnknown = errors.New("key-value store write outcome unknown")
	// ErrLeaseNotFound means that the lease expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that the service no longer has the start revision of a watch. The caller must read the keys
	// and start a new watch.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrChangesTooLarge means that the changes since the start revision of a watch are too large for one reply. Repeating
	// the call does not help: the caller must read the keys, whose former values are left out, and start a new watch.
	ErrChangesTooLarge = errors.New("changes since the watch revision are too large")
	// ErrValueTooLarge means that a value exceeds MaxValueBytes; nothing took effect.
	ErrValueTooLarge = errors.New("value exceeds the store's limit")
)

// Revision is the store-wide, strictly increasing number of a committed write. Zero means "does not exist".
type Revision int64

// LeaseID identifies a lease. Zero means "no lease".
type LeaseID int64

// KeyValue is one stored key.
type KeyValue struct {
	Key   string
	Value []byte
	// CreateRevision is the revision of the write that created the key; it changes when a key is deleted and recreated.
	CreateRevision Revision
	// ModRevision is the revision of the last write to the key.
	ModRevision Revision
	// Lease is the lease whose expiry or revocation deletes the key; zero means none.
	Lease LeaseID
}

// Condition requires a key to have a certain revision. Revision zero requires that the key does not exist.
type Condition struct {
	Key string
	// Field selects the revision that is compared.
	Field RevisionField
	// Equals is the required revision.
	Equals Revision
}

// RevisionField selects the revision that a Condition compares.
type RevisionField int

const (
	// ModRevision compares the revision of the last write.
	ModRevision RevisionField = iota
	// CreateRevision compares the revision of the write that created the key.
	CreateRevision
)

// Put sets a key. If Lease is not zero, the key is deleted when the lease expires or is revoked.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// ConditionalWrite applies its puts and deletes atomically if all conditions hold.
type ConditionalWrite struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
	// ReadOnFailure lists keys whose current values are returned when a condition does not hold.
	ReadOnFailure []string
}

// WriteResult is the result of one ConditionalWrite.
type WriteResult struct {
	// Applied is false when a condition did not hold.
	Applied bool
	// Revision is the store revision of the commit when Applied.
	Revision Revision
	// Current holds the keys of ReadOnFailure that exist, when not Applied.
	Current []KeyValue
}

// Reader reads keys. Reads are linearizable.
type Reader interface {
	// Get returns the key, whether it exists, and the store's current revision. Errors: ErrUnavailable.
	Get(ctx context.Context, key string) (kv KeyValue, found bool, revision Revision, err error)
	// Range returns all keys with the prefix, in key order, and the store's revision at which all of them were read.
	// Errors: ErrUnavailable.
	Range(ctx context.Context, prefix string) (kvs []KeyValue, revision Revision, err error)
}

// Writer applies conditional writes.
type Writer interface {
	// Commit sends independent conditional writes in one call and returns one result for each, in the same order. No key
	// may be written twice in one call. All conditions are evaluated before any write of the call takes effect. Errors:
	// ErrUnavailable, ErrOutcomeUnknown, ErrValueTooLarge, ErrLeaseNotFound. With an error the results are nil and, except
	// with ErrOutcomeUnknown, no write of the call took effect.
	Commit(ctx context.Context, writes []ConditionalWrite) ([]WriteResult, error)
}

// Leaser manages leases.
type Leaser interface {
	// Grant creates a lease. The service may grant a longer time to live than requested. Errors: ErrUnavailable,
	// ErrOutcomeUnknown (an unused lease may remain until it expires).
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive extends the lease to its full time to live, counted from the service's receipt of the call. Errors:
	// ErrLeaseNotFound, ErrUnavailable (the lease may have been extended all the same).
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends the lease and deletes its keys. Errors: ErrUnavailable, ErrOutcomeUnknown; a missing lease is no error.
	Revoke(ctx context.Context, id LeaseID) error
}

// Event is one change reported by a watch.
type Event struct {
	KeyValue
	Deleted bool
}

// Watch is a stream of the changes of all keys with one prefix. A pending watch counts as one call in the service's
// call budget.
type Watch interface {
	// Next blocks until the next batch of changes, in revision order. An empty batch is a progress notification. Errors:
	// ErrUnavailable if the stream ended, ErrCompacted, or the context's error.
	Next(ctx context.Context) ([]Event, error)
	// Close ends the watch.
	Close()
}

// Watcher opens watches.
type Watcher interface {
	// Watch streams the changes of keys with the prefix, starting with the changes at revision from. Errors:
	// ErrUnavailable.
	Watch(ctx context.Context, prefix string, from Revision) (Watch, error)
}

// Store is the whole service. Components depend only on the interfaces that they need.
type Store interface {
	Reader
	Writer
	Leaser
	Watcher
}
