package configstore

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// collectionIntervalRevisions selects the changes that also collect garbage: those whose revision is a multiple of it.
// A collection reads all bundles, a few megabytes at design size.
const collectionIntervalRevisions = 64

// collectPeriodically collects garbage after the changes that collectionIntervalRevisions selects. It ignores errors:
// unreferenced bundles are harmless, and a later collection deletes them.
func (r *Repository) collectPeriodically(ctx context.Context, applied Result) {
	if !applied.Empty() && applied.Revision%collectionIntervalRevisions == 0 {
		_, _ = r.CollectGarbage(ctx)
	}
}

// CollectGarbage deletes bundles that the head does not list. Writers leave them behind when they fail or lose a race
// after writing bundles. One call deletes up to maxCommitDeletes bundles and returns their number. Errors: ErrNoHead,
// ErrFormat, kvstore.ErrUnavailable, kvstore.ErrOutcomeUnknown.
func (r *Repository) CollectGarbage(ctx context.Context) (int, error) {
	kv, found, _, err := r.store.Get(ctx, r.HeadKey())
	if err != nil {
		return 0, errors.Wrap(err, "read configuration head")
	}
	if !found {
		return 0, ErrNoHead
	}
	head, err := ParseHead(kv.Value)
	if err != nil {
		return 0, err
	}
	unreferenced, err := r.unreferencedDigests(ctx, head)
	if err != nil || len(unreferenced) == 0 {
		return 0, err
	}
	// The head is rewritten unchanged, so a concurrent writer that relies on one of these bundles fails the comparison of
	// the head.
	write := r.headWrite(kv.ModRevision, kv.Value, unreferenced)
	results, err := r.store.Commit(ctx, []kvstore.ConditionalWrite{write})
	if err != nil {
		return 0, errors.Wrap(err, "delete unreferenced bundles")
	}
	if !results[0].Applied {
		return 0, nil
	}
	return len(unreferenced), nil
}

// unreferencedDigests returns up to maxCommitDeletes digests of stored bundles that the head lists neither as in use
// nor as retired. It reads the bundles in 16 calls, one for each first digit of the digest, to keep the store's replies
// small.
func (r *Repository) unreferencedDigests(ctx context.Context, head *Head) ([]string, error) {
	referenced := head.digests()
	for _, b := range head.Retired {
		referenced[b.Digest] = true
	}
	prefix := r.prefix + bundlePrefix
	var unreferenced []string
	for _, digit := range "0123456789abcdef" {
		kvs, _, err := r.store.Range(ctx, prefix+string(digit))
		if err != nil {
			return nil, errors.Wrap(err, "list bundles")
		}
		for _, kv := range kvs {
			digest := strings.TrimPrefix(kv.Key, prefix)
			if !referenced[digest] && len(unreferenced) < maxCommitDeletes {
				unreferenced = append(unreferenced, digest)
			}
		}
	}
	return unreferenced, nil
}
