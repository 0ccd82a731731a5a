package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const (
	headKey      = "config/head"
	bundlePrefix = "config/bundles/"
	// readConcurrency bounds the number of concurrent bundle reads, so that they take a small fraction of the store's read
	// rate.
	readConcurrency = 8
	// maxReadAttempts bounds the attempts of a read. An attempt fails when a bundle is deleted after the head was read.
	maxReadAttempts = 4
)

// ReadStore is the part of the store that a Reader needs.
type ReadStore interface {
	kvstore.Reader
}

// ReadWriteStore is the part of the store that a Repository needs.
type ReadWriteStore interface {
	kvstore.Reader
	kvstore.Writer
}

// Options configure a Repository.
type Options struct {
	// Prefix is the prefix of every key.
	Prefix string
	// WriterVersion is the newest schema version that this writer supports; zero means config.NewestSchemaVersion.
	WriterVersion int
	// Now is the clock for CommittedAt; nil means time.Now.
	Now func() time.Time
	// Backoff returns the wait before a retry of a change. The first retry is attempt 1. Nil means a jittered default.
	Backoff func(attempt int) time.Duration
}

// Reader reads configurations.
type Reader struct {
	store  ReadStore
	prefix string
}

// NewReader returns a reader of the configuration under a key prefix.
func NewReader(store ReadStore, prefix string) *Reader {
	return &Reader{store: store, prefix: prefix}
}

// HeadKey returns the key of the head, for use in watches.
func (r *Reader) HeadKey() string {
	return r.prefix + headKey
}

// Read returns the configuration in the store. It reuses the bundles that previous has; previous may be nil. Errors:
// ErrNoHead, ErrFormat, kvstore.ErrUnavailable.
func (r *Reader) Read(ctx context.Context, previous *Contents) (*Contents, error) {
	for range maxReadAttempts {
		contents, err := r.readOnce(ctx, previous)
		if !errors.Is(err, errBundleNotFound) {
			return contents, err
		}
	}
	return nil, errors.Wrap(ErrFormat, "bundles of the head are missing in the store")
}

// errBundleNotFound means that a bundle was deleted after the head was read, or is missing from the store.
var errBundleNotFound = errors.New("bundle not found")

func (r *Reader) readOnce(ctx context.Context, previous *Contents) (*Contents, error) {
	kv, found, revision, err := r.store.Get(ctx, r.HeadKey())
	if err != nil {
		return nil, errors.Wrap(err, "read configuration head")
	}
	if !found {
		return &Contents{storeRevision: revision}, ErrNoHead
	}
	head, err := ParseHead(kv.Value)
	if err != nil {
		return nil, err
	}
	contents := newContents(head, kv.Value)
	contents.modRevision = kv.ModRevision
	contents.storeRevision = revision
	return contents, r.readBundles(ctx, contents, previous)
}

// readBundles fills contents with the bundles of its head. It reads only those that previous lacks.
func (r *Reader) readBundles(ctx context.Context, contents, previous *Contents) error {
	var missing []string
	for _, ref := range contents.Head.Bundles {
		if !contents.reuseBundle(ref.Digest, previous) {
			missing = append(missing, ref.Digest)
		}
	}
	fetched := make([][]byte, len(missing))
	p := pool.New().WithMaxGoroutines(readConcurrency).WithContext(ctx).WithFirstError()
	for i, digest := range missing {
		p.Go(func(ctx context.Context) error {
			kv, found, _, err := r.store.Get(ctx, r.prefix+bundlePrefix+digest)
			if err != nil {
				return errors.Wrapf(err, "read bundle %s", digest)
			}
			if !found {
				return errors.Wrapf(errBundleNotFound, "%s", digest)
			}
			fetched[i] = kv.Value
			return nil
		})
	}
	if err := p.Wait(); err != nil {
		return err
	}
	for i, digest := range missing {
		if err := contents.addBundle(digest, fetched[i]); err != nil {
			return err
		}
	}
	return nil
}

// Repository reads and changes configurations. It is safe for concurrent use.
type Repository struct {
	*Reader
	store   ReadWriteStore
	options Options
}

// New returns a repository.
func New(store ReadWriteStore, options Options) *Repository {
	if options.WriterVersion == 0 {
		options.WriterVersion = config.NewestSchemaVersion
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Backoff == nil {
		options.Backoff = defaultBackoff
	}
	return &Repository{Reader: NewReader(store, options.Prefix), store: store, options: options}
}

// defaultBackoff returns a random wait, so that competing writers retry at different times. Its upper bound grows by
// 20 ms with each attempt.
func defaultBackoff(attempt int) time.Duration {
	return rand.N(time.Duration(attempt) * 20 * time.Millisecond)
}
