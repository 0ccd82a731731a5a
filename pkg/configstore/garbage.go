package configstore

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// collectEvery is the number of revisions after which an applied change also looks for abandoned bundles. Looking reads
// all bundles, a few megabytes at design size.
const collectEvery = 64

// collectSometimes drops the error: what is left over does no harm, and a later collection finds it.
func (r *Repository) collectSometimes(ctx context.Context, applied Result) {
	if !applied.Empty() && applied.Revision%collectEvery == 0 {
		_, _ = r.CollectGarbage(ctx)
	}
}

// CollectGarbage deletes bundles that no head names, which writers leave behind that fail or lose a race after writing
// bundles. It returns the number of deleted bundles, a bounded number per call. Errors: ErrNoHead, ErrFormat,
// kvstore.ErrUnavailable, kvstore.ErrOutcomeUnknown.
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
	abandoned, err := r.abandoned(ctx, head)
	if err != nil || len(abandoned) == 0 {
		return 0, err
	}
	// The head is written again unchanged, so that a writer that counts on one of these bundles fails its comparison.
	write := r.headWrite(kv.ModRevision, kv.Value, abandoned)
	results, err := r.store.Commit(ctx, []kvstore.ConditionalWrite{write})
	if err != nil {
		return 0, errors.Wrap(err, "delete abandoned bundles")
	}
	if !results[0].Applied {
		return 0, nil
	}
	return len(abandoned), nil
}

// abandoned returns up to maxDeletes digests of stored bundles that the head neither uses nor lists as retired. Bundles
// are read in parts by the first digit of their digest, to keep replies of the store small.
func (r *Repository) abandoned(ctx context.Context, head *Head) ([]string, error) {
	known := head.digests()
	for _, b := range head.Retired {
		known[b.Digest] = true
	}
	prefix := r.prefix + bundlePrefix
	var abandoned []string
	for _, digit := range "0123456789abcdef" {
		kvs, _, err := r.store.Range(ctx, prefix+string(digit))
		if err != nil {
			return nil, errors.Wrap(err, "list bundles")
		}
		for _, kv := range kvs {
			digest := strings.TrimPrefix(kv.Key, prefix)
			if !known[digest] && len(abandoned) < maxDeletes {
				abandoned = append(abandoned, digest)
			}
		}
	}
	return abandoned, nil
}
